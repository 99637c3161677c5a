"""Limits on idle connections to backend servers."""

from __future__ import annotations

import contextlib
import socket
import time
from collections.abc import Iterator

import pytest

from celeryspan import catalog, guardedsockets, ids, kernel
from celeryspan.gateway import channels, settings

DESCRIPTORS_MAX = 100
"""File descriptor limit that leaves 15 idle connections to backend servers."""

SERVERS = 40


@pytest.fixture
def stack() -> Iterator[contextlib.ExitStack]:
    with contextlib.ExitStack() as found:
        yield found


def make_channels() -> channels.Channels:
    values = settings.Settings(
        router="edge-1",
        data_centre="hala-a",
        caller_address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
        ready_address="127.0.0.1:3",
        directory_address="127.0.0.1:4",
        store_address="127.0.0.1:5",
        fleet_keys=("test",),
        descriptors_max=DESCRIPTORS_MAX,
    )
    return channels.Channels(kernel.Kernel(values))


def make_answered_channel(stack: contextlib.ExitStack, server: str) -> channels.Channel:
    """Return a connection that may be returned to the pool."""
    near, far = socket.socketpair()
    stack.enter_context(far)
    entry = catalog.ServerEntry(
        server=ids.ServerId(server),
        service=ids.ServiceId("gate"),
        address=ids.Address("127.0.0.1", 1),
        data_centre=ids.DataCentreId("hala-a"),
        slots=8,
        is_leaving=False,
        revision=1,
    )
    channel = channels.Channel(entry, guardedsockets.adopt(near))
    stack.callback(channel.close)
    channel.reusable_until = time.monotonic() + 60
    return channel


def test_idle_connections_to_many_servers_stay_within_the_limit(stack) -> None:
    """A router keeps idle connections to each of hundreds of servers.

    Without a limit on their total number the process runs out of file descriptors, and
    neither callers nor requests to the directory are answered.
    """
    pool = make_channels()
    used = [make_answered_channel(stack, f"gate-{number}") for number in range(SERVERS)]
    for channel in used:
        pool.release(channel)
    still_open = [channel for channel in used if channel.is_reusable()]
    assert len(still_open) == 15
    assert still_open == used[-15:], "the longest idle must be closed first"


def test_reused_connection_counts_as_recently_used(stack) -> None:
    pool = make_channels()
    first = make_answered_channel(stack, "gate-0")
    pool.release(first)
    for number in range(1, 15):
        pool.release(make_answered_channel(stack, f"gate-{number}"))
    taken = pool.open(first.entry, at_most_once=False)
    assert taken is first
    pool.release(first)
    pool.release(make_answered_channel(stack, "gate-99"))
    assert first.is_reusable()
