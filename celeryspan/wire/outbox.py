"""What waits to be sent to one peer, bounded whatever the peer does.

Failure answered: a peer or the way to it is slow or silent for minutes. A plain queue
grows until the memory is full, and when the peer is back it reads minutes of state
that is no longer true. Here a newer state takes the place of the older one of the same
key, and events that can't be replaced are few, short-lived and dropped oldest first;
their senders cover the loss by expiry.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Hashable

from celeryspan.wire import messages

STATES_MAX = 20_000
"""Greatest number of states kept for one peer: 760 client accounts times 19 models
make 14,440 counters, the greatest set that one router ever reports."""

EVENTS_MAX = 2_000
"""Greatest number of events kept for one peer: at 108 requests a second and three
events a request this is six seconds for a peer that takes all of them."""

GRANT_SECONDS = 0.5
"""Greatest wait of a grant, in seconds. Its receiver counts its validity from receipt,
so that a grant which waited longer would be used after its home has given the slot to
another; the slot's window would be exceeded."""

RESEND_SECONDS = 10.0
"""States sent this long before a link failed may be lost and are sent again."""

BATCH_MAX = 500
"""Greatest number of messages in a frame: about 15 KB."""

Key = tuple[Hashable, ...]
KEYS: dict[type, Callable[[messages.Message], Key]] = {}


def register_key(kind: type) -> Callable[[Callable], Callable]:
    """Put the function that names the state of a kind of message into the registry."""

    def decorate(name: Callable) -> Callable:
        KEYS[kind] = name
        return name

    return decorate


class Outbox:
    """Messages for one peer in the order in which they are to leave."""

    def __init__(self) -> None:
        self.dropped = 0
        self._states: dict[Key, messages.Message] = {}
        self._events: collections.deque[tuple[float, messages.Message]] = (
            collections.deque()
        )
        self._sent: collections.OrderedDict[Key, tuple[float, messages.Message]] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._states) + len(self._events)

    def put(self, message: messages.Message, now: float) -> None:
        """Add a message; a state takes the place of the older one of its key."""
        name = KEYS.get(type(message))
        if name is None:
            self._events.append((now, message))
            if len(self._events) > EVENTS_MAX:
                self._events.popleft()
                self.dropped += 1
            return
        key = (type(message), *name(message))
        self._states[key] = message
        self._sent.pop(key, None)
        if len(self._states) > STATES_MAX:
            self._states.pop(next(iter(self._states)))
            self.dropped += 1

    def take(self, now: float) -> tuple[messages.Message, ...]:
        """Take the next batch: events first, since they soon expire."""
        batch: list[messages.Message] = []
        while self._events and len(batch) < BATCH_MAX:
            put_at, message = self._events.popleft()
            if isinstance(message, messages.Grant) and now - put_at > GRANT_SECONDS:
                self.dropped += 1
                continue
            batch.append(message)
        while self._states and len(batch) < BATCH_MAX:
            key = next(iter(self._states))
            message = self._states.pop(key)
            self._remember(key, message, now)
            batch.append(message)
        return tuple(batch)

    def restore(self, now: float) -> None:
        """Put back the states that a failed link may have lost.

        A connection that something between the ends has forgotten takes bytes for
        seconds and delivers none. Without this the peer would keep the state of
        before, such as a demand that was withdrawn.
        """
        for key, (sent_at, message) in self._sent.items():
            if now - sent_at <= RESEND_SECONDS:
                self._states.setdefault(key, message)
        self._sent.clear()

    def settle(self) -> None:
        """Forget what was sent: the peer had time enough to read it."""
        self._sent.clear()

    def _remember(self, key: Key, message: messages.Message, now: float) -> None:
        self._sent[key] = (now, message)
        self._sent.move_to_end(key)
        while self._sent:
            oldest = next(iter(self._sent))
            if now - self._sent[oldest][0] <= RESEND_SECONDS:
                break
            del self._sent[oldest]


@register_key(messages.Demand)
@register_key(messages.Lift)
@register_key(messages.Pending)
def _name_demand(message: messages.Demand) -> Key:
    return (message.service, message.account)


@register_key(messages.SlotsHeld)
def _name_slots(message: messages.SlotsHeld) -> Key:
    return (message.server,)


@register_key(messages.Counter)
def _name_counter(message: messages.Counter) -> Key:
    return (message.router, message.service, message.account)


@register_key(messages.Member)
def _name_member(message: messages.Member) -> Key:
    return (message.router,)


@register_key(messages.ServerFact)
@register_key(messages.Vote)
def _name_server(message: messages.ServerFact) -> Key:
    return (message.server,)


@register_key(messages.Pressure)
def _name_service(message: messages.Pressure) -> Key:
    return (message.service,)


@register_key(messages.ConfigurationOffer)
@register_key(messages.ConfigurationRequest)
@register_key(messages.ConfigurationValue)
@register_key(messages.MembersRequest)
@register_key(messages.Snapshot)
def _name_single(_: messages.Message) -> Key:
    return ()
