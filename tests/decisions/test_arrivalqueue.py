"""The order in which waiting connections are dispatched."""

from __future__ import annotations

import dataclasses

from celeryspan.decisions import arrivalqueue

SECONDS = 20
ARRIVALS_PER_SECOND = 1_000
DISPATCHES_PER_SECOND = 400


@dataclasses.dataclass
class Item:
    """Something that waits."""

    since: float


def add_all(
    queue: arrivalqueue.ArrivalQueue[Item], *times: float
) -> arrivalqueue.ArrivalQueue[Item]:
    """Add items that began to wait at some times."""
    for since in times:
        queue.add(Item(since))
    return queue


def test_first_one_is_taken_first_while_none_is_late() -> None:
    queue = add_all(arrivalqueue.ArrivalQueue(), 0.0, 0.1, 0.15)
    assert [queue.take(0.19).since for _ in range(3)] == [0.0, 0.1, 0.15]
    assert queue.take(0.19) is None


def test_overloaded_queue_still_gives_requests_that_can_be_served_in_time() -> None:
    """Guards against a router that dispatches only requests whose callers gave up."""
    queue: arrivalqueue.ArrivalQueue[Item] = arrivalqueue.ArrivalQueue()
    in_time = arrived = 0
    for turn in range(SECONDS * DISPATCHES_PER_SECOND):
        now = turn / DISPATCHES_PER_SECOND
        while arrived <= now * ARRIVALS_PER_SECOND:
            queue.add(Item(arrived / ARRIVALS_PER_SECOND))
            arrived += 1
        taken = queue.take(now)
        in_time += now - taken.since <= arrivalqueue.LATE_SECONDS
    assert in_time >= 0.45 * SECONDS * DISPATCHES_PER_SECOND


def test_first_ones_are_not_left_waiting_for_ever() -> None:
    """Guards against callers that are passed over until they give up."""
    queue = add_all(arrivalqueue.ArrivalQueue(), *range(10))
    taken = [queue.take(100.0).since for _ in range(10)]
    assert taken == [9, 0, 8, 1, 7, 2, 6, 3, 5, 4]


def test_longest_wait_is_that_of_the_first_one() -> None:
    queue = add_all(arrivalqueue.ArrivalQueue(), 0.0, 1.0)
    assert queue.measure_delay(2.0) == 2.0
    queue.take(3.0)
    assert queue.take_delay(3.0) == 3.0
    queue.take(3.5)
    assert queue.take_delay(3.5) == 3.5
    assert queue.take_delay(4.0) == 0.0
