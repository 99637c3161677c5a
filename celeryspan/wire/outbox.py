"""Bounded queue of outgoing messages for one peer.

A peer, or the network to it, may be slow or unresponsive for minutes. A plain queue
would grow until the memory is exhausted, and the peer would then read minutes of
outdated state. Here a newer state replaces the older one of the same key. Events, which
cannot be replaced, are few and short-lived; the oldest is dropped first, and its sender
recovers by expiry.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Hashable

from celeryspan.wire import messages

STATES_MAX = 20_000
"""States kept for one peer. The largest set that a router reports is 14,440 counters,
for 760 client accounts times 19 models."""

EVENTS_MAX = 2_000
"""Events kept for one peer: six seconds at 108 requests per second and three events
per request, if all go to the same peer."""

GRANT_WAIT_MAX_SECONDS = 0.5
"""Older grants are dropped. The receiver counts the validity of a grant from receipt,
so it would use an older one after the home has given the slot to another request, which
would exceed the concurrency window of the server."""

RESEND_SECONDS = 10.0
"""States sent within this time before a link failed may be lost and are sent again."""

BATCH_MAX = 500
"""Messages in a frame, about 15 KB."""

Key = tuple[Hashable, ...]
KEYS: dict[type, Callable[[messages.Message], Key]] = {}


def register_key(kind: type) -> Callable[[Callable], Callable]:
    """Register the function that returns the state key of a message type."""

    def decorate(key_of: Callable) -> Callable:
        KEYS[kind] = key_of
        return key_of

    return decorate


class Outbox:
    """Outgoing messages for one peer, in sending order."""

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
        """Add a message; a state replaces the older one of the same key."""
        key_of = KEYS.get(type(message))
        if key_of is None:
            self._events.append((now, message))
            if len(self._events) > EVENTS_MAX:
                self._events.popleft()
                self.dropped += 1
            return
        key = (type(message), *key_of(message))
        self._states[key] = message
        self._sent.pop(key, None)
        if len(self._states) > STATES_MAX:
            self._states.pop(next(iter(self._states)))
            self.dropped += 1

    def take_batch(self, now: float) -> tuple[messages.Message, ...]:
        """Remove and return the next batch, events first because they expire soon."""
        batch: list[messages.Message] = []
        while self._events and len(batch) < BATCH_MAX:
            queued_at, message = self._events.popleft()
            if (
                isinstance(message, messages.Grant)
                and now - queued_at > GRANT_WAIT_MAX_SECONDS
            ):
                self.dropped += 1
                continue
            batch.append(message)
        while self._states and len(batch) < BATCH_MAX:
            key = next(iter(self._states))
            message = self._states.pop(key)
            self._record_sent(key, message, now)
            batch.append(message)
        return tuple(batch)

    def requeue_sent(self, now: float) -> None:
        """Queue the states again that a failed link may have lost.

        A connection that a middlebox has dropped accepts data for seconds without
        delivering it. The peer would otherwise keep outdated state, such as a demand
        that was withdrawn.
        """
        for key, (sent_at, message) in self._sent.items():
            if now - sent_at <= RESEND_SECONDS:
                self._states.setdefault(key, message)
        self._sent.clear()

    def discard_sent(self) -> None:
        """Discard the sent states, which the peer has had enough time to read."""
        self._sent.clear()

    def _record_sent(self, key: Key, message: messages.Message, now: float) -> None:
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
def _key_by_service_and_account(message: messages.Demand) -> Key:
    return (message.service, message.account)


@register_key(messages.SlotsHeld)
def _key_slots_held(message: messages.SlotsHeld) -> Key:
    return (message.server,)


@register_key(messages.Counter)
def _key_counter(message: messages.Counter) -> Key:
    return (message.router, message.service, message.account)


@register_key(messages.Member)
def _key_member(message: messages.Member) -> Key:
    return (message.router,)


@register_key(messages.ServerFact)
@register_key(messages.Vote)
def _key_by_server(message: messages.ServerFact) -> Key:
    return (message.server,)


@register_key(messages.Pressure)
def _key_by_service(message: messages.Pressure) -> Key:
    return (message.service,)


@register_key(messages.ConfigurationOffer)
@register_key(messages.ConfigurationRequest)
@register_key(messages.ConfigurationValue)
@register_key(messages.MembersRequest)
@register_key(messages.Snapshot)
def _key_single(_: messages.Message) -> Key:
    return ()
