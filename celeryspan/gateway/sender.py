"""The kernel service ``sender``: one request at one backend server, and its answer.

Sends a request on an open channel, checks the head of the answer, passes streams on.
A run that was stopped to be moved goes on here at the engine that has its copy.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from celeryspan import catalog, errors, events, ids, kernel
from celeryspan.adapters import backend
from celeryspan.gateway import (
    channels,
    migrations,
    orders,
    places,
    replies,
    requestprogress,
)
from celeryspan.platform import engines, requests

if TYPE_CHECKING:
    from celeryspan.gateway import crashwatch, quarantines, serverlists


@kernel.register(
    "sender",
    needs=(
        "channels",
        "crashwatch",
        "migrations",
        "places",
        "quarantine",
        "servers",
    ),
)
class Sender:
    """Carries a request to one server and its answer back."""

    def __init__(self, box: kernel.Kernel) -> None:
        self._channels: channels.Channels = box.find("channels")
        self._crashwatch: crashwatch.CrashWatch = box.find("crashwatch")
        self._quarantine: quarantines.QuarantineService = box.find("quarantine")
        self._migrations: migrations.Migrations = box.find("migrations")
        self._places: places.Places = box.find("places")
        self._servers: serverlists.ServersService = box.find("servers")

    def start(self) -> None:
        """Nothing to begin."""

    def stop(self) -> None:
        """Nothing to end."""

    def send(
        self,
        order: orders.Order,
        server: ids.ServerId,
        progress: requestprogress.Progress,
        channel: channels.Channel,
        until: float,
        moved_from: str = "",
        source: ids.ServerId | None = None,
    ) -> replies.Reply:
        """Send an order and read the head of the answer.

        Parameters
        ----------
        until : float
            Until when the head must have come, on the monotonic clock.
        moved_from : str
            Names the copy of a run that the server is to go on with.
        source : ServerId, optional
            Another server, from which it is to copy kept parts of the prompt.

        Raises
        ------
        backend.Declined
            If the server says that it did not run it.
        backend.AnswerLost
            If there is no answer that may be passed on.
        """
        left = order.left()
        keeper = self._servers.usable().get(source) if source else None
        head = write_head(
            order,
            server,
            left,
            progress.last_event,
            moved_from,
            str(keeper.address) if keeper else "",
        )
        events.log(
            events.Event.REQUEST_SENT,
            request=order.request,
            account=order.account or "",
            server=server,
            attempt=progress.sends + 1,
            left=round(left, 3),
            reused=not channel.is_new,
        )
        progress.note_sent(time.monotonic())
        try:
            channel.send(head + order.body, until)
            answer = channel.receive(order.method, order.request, until)
        except channels.FAULTS as error:
            progress.timed_out = time.monotonic() >= order.deadline
            raise backend.AnswerLost(
                f"no answer: {error!r}", step="read answer", peer=server
            ) from error
        reply = replies.Reply(order, channel, answer)
        self._check(reply, server)
        return reply

    def _check(self, reply: replies.Reply, server: ids.ServerId) -> None:
        if reply.is_not_run:
            is_gone = reply.status == 421
            if is_gone:
                self._servers.remove(server)
            raise backend.Declined(
                f"status {reply.status}", leaving=is_gone, step="send", peer=server
            )
        if reply.is_success and not reply.is_signed:
            # Without the signature nobody can tell it from bytes that went astray.
            raise backend.AnswerLost(
                "a success without signature", step="read answer", peer=server
            )

    def pass_stream(
        self,
        order: orders.Order,
        place: places.Place,
        progress: requestprogress.Progress,
        reply: replies.Reply,
        sink: orders.Sink,
    ) -> None:
        """Pass a stream on, event by event; raises backend.AnswerLost."""
        for event in reply.read_events(progress.last_event):
            progress.note_event(time.monotonic())
            if not place.is_begun:
                self._places.begin(place)
            if not progress.is_answering:
                progress.is_answering = True
                headers = [
                    (name, value)
                    for name, value in reply.headers
                    if name.lower() != "content-length" or not order.route.is_resumable
                ]
                sink.write_head(reply.status, reply.reason, headers)
            sink.write(event.data)
            progress.last_event = event.last_id or progress.last_event
        if not progress.is_answering:
            sink.write_head(reply.status, reply.reason, reply.headers)
        sink.finish()

    def resume(
        self,
        order: orders.Order,
        place: places.Place,
        progress: requestprogress.Progress,
        sink: orders.Sink,
    ) -> bool:
        """Resume a run that was stopped to be moved; returns whether it has ended.

        If the engine that has the copy does not take it, the one that was stopped
        resumes it: it keeps what it has read.
        """
        migration = self._migrations.take_copy(place)
        if migration is None or migration.copy is None:
            return False
        source, target = migration.source, migration.target
        moved_from = engines.name_copy(source.address, migration.copy)
        for entry in (target, source) if migration.copy.is_at_target else (source,):
            try:
                reply, channel = self._request_resumption(
                    order, entry, progress, moved_from
                )
            except backend.AnswerLost as lost:
                self._crashwatch.note_loss(order, entry, progress, lost)
                log_resumption(order, progress, entry.server, str(lost))
                continue
            except (backend.Declined, errors.NotRun) as error:
                log_resumption(order, progress, entry.server, str(error))
                continue
            is_moved = entry is target
            self._places.settle_migration(place, target.server, is_moved=is_moved)
            log_resumption(order, progress, entry.server, "")
            return self._pass_rest(order, place, progress, reply, channel, sink)
        self._places.settle_migration(place, target.server, is_moved=False)
        return False

    def _request_resumption(
        self,
        order: orders.Order,
        entry: catalog.ServerEntry,
        progress: requestprogress.Progress,
        moved_from: str,
    ) -> tuple[replies.Reply, channels.Channel]:
        """Ask one engine to go on with a run; returns the head of its answer.

        Raises
        ------
        errors.NotRun
            If the engine can't be reached, or the request is in quarantine by now.
        backend.Declined, backend.AnswerLost
            If it does not go on.
        """
        self._quarantine.check(order, progress)
        channel = self._channels.open(entry, once_only=True)
        self._quarantine.note_sent(order, progress)
        order.presence.watch(channel.make_abort())
        try:
            reply = self.send(
                order, entry.server, progress, channel, order.deadline, moved_from
            )
            if not reply.is_success:
                raise backend.Declined(
                    f"status {reply.status}", step="move", peer=entry.server
                )
        except Exception:
            channel.close()
            raise
        return reply, channel

    def _pass_rest(
        self,
        order: orders.Order,
        place: places.Place,
        progress: requestprogress.Progress,
        reply: replies.Reply,
        channel: channels.Channel,
        sink: orders.Sink,
    ) -> bool:
        """Pass on the rest of a stream; returns whether it has ended."""
        is_whole = False
        try:
            self.pass_stream(order, place, progress, reply, sink)
            is_whole = True
        except backend.AnswerLost as lost:
            self._crashwatch.note_loss(order, channel.entry, progress, lost)
            log_resumption(order, progress, channel.server, str(lost))
        finally:
            if is_whole:
                self._channels.keep(channel)
            else:
                channel.close()
        return is_whole


def log_resumption(
    order: orders.Order,
    progress: requestprogress.Progress,
    server: ids.ServerId,
    error: str,
) -> None:
    """Log that a stream goes on at a server, or why it does not."""
    events.log(
        events.Event.STREAM_RESUMED,
        request=order.request,
        server=server,
        above=progress.last_event,
        error=error,
    )


def write_head(
    order: orders.Order,
    server: ids.ServerId,
    left: float,
    last_event: str,
    moved_from: str = "",
    fetched_from: str = "",
) -> bytes:
    """Return the head of a request as one server gets it."""
    headers = requests.write_headers(
        order.incoming,
        server=server,
        account=order.account,
        left=left,
        last_event=last_event,
        moved_from=moved_from,
        fetched_from=fetched_from,
    )
    if order.body or order.method not in ("GET", "HEAD", "DELETE"):
        headers.append(("Content-Length", str(len(order.body))))
    lines = [order.method.encode() + b" " + order.target + b" HTTP/1.1"]
    lines += [f"{name}: {value}".encode("latin-1") for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def write_whole(sink: orders.Sink, reply: replies.Reply, body: bytes) -> None:
    """Write an answer whose body is there."""
    headers = [
        (name, value)
        for name, value in reply.headers
        if name.lower() != "content-length"
    ]
    headers.append(("Content-Length", str(len(body))))
    sink.write_head(reply.status, reply.reason, headers)
    sink.write(body)
    sink.finish()
