"""The kernel service ``sender``: sends requests to backend servers and relays answers.

It sends a request on an open channel, checks the head of the answer and relays streams.
It also resumes a run that was stopped for a migration, at the engine with the copy.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import TYPE_CHECKING

from celeryspan import catalog, errors, events, ids, kernel
from celeryspan.adapters import backend
from celeryspan.decisions import streamversions
from celeryspan.gateway import (
    channels,
    loadreports,
    migrations,
    orders,
    places,
    replies,
    replybuffers,
    requestprogress,
)
from celeryspan.platform import engines, requests

if TYPE_CHECKING:
    from celeryspan.gateway import (
        announcements,
        crashwatch,
        evacuations,
        quarantines,
        serverlists,
        streamorigins,
    )


@kernel.register(
    "sender",
    needs=(
        "announcements",
        "channels",
        "crashwatch",
        "evacuations",
        "migrations",
        "places",
        "quarantine",
        "servers",
        "streamorigins",
    ),
)
class Sender:
    """Sends requests to a single server and relays streamed answers."""

    def __init__(self, container: kernel.Kernel) -> None:
        self._announcements: announcements.AnnouncementsService = container.find(
            "announcements"
        )
        self._channels: channels.Channels = container.find("channels")
        self._crashwatch: crashwatch.CrashWatch = container.find("crashwatch")
        self._evacuations: evacuations.EvacuationsService = container.find(
            "evacuations"
        )
        self._quarantine: quarantines.QuarantineService = container.find("quarantine")
        self._migrations: migrations.Migrations = container.find("migrations")
        self._places: places.SlotClient = container.find("places")
        self._servers: serverlists.ServersService = container.find("servers")
        self._origins: streamorigins.StreamOriginsService = container.find(
            "streamorigins"
        )
        self._loads = loadreports.LoadReports()
        values = container.settings
        self._buffers = replybuffers.ReplyBuffers(
            values.response_buffer_bytes_max, values.response_buffers_bytes
        )

    def start(self) -> None:
        """Do nothing: the service has no background work."""

    def stop(self) -> None:
        """Do nothing: the service holds no resources."""

    def report(self) -> dict[str, object]:
        """Return the bytes of answers that are buffered, for operators."""
        return {"buffered_bytes": self._buffers.count_bytes()}

    def open_buffer(self) -> replybuffers.ReplyBuffer:
        """Return a buffer for one answer, which must be released at its end."""
        return self._buffers.open()

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
            Monotonic deadline for the head of the answer, in seconds.
        moved_from : str
            Name of the copied run that the server is to resume; empty for a new run.
        source : ServerId, optional
            Another server from which cached parts of the prompt are to be copied.

        Raises
        ------
        backend.Declined
            If the server states that it did not run the request.
        backend.AnswerLost
            If there is no valid answer.
        """
        left = order.remaining_seconds()
        cache_source = self._servers.usable().get(source) if source else None
        head = _format_request_head(
            order,
            server,
            left,
            progress.last_event,
            moved_from,
            str(cache_source.address) if cache_source else "",
        )
        events.log(
            events.Event.REQUEST_SENT,
            request=order.request,
            account=order.account or "",
            server=server,
            attempt=progress.sends + 1,
            left=round(left, 3),
            reused=not channel.is_new,
            version=channel.entry.version,
            origin=order.incoming.origin,
        )
        progress.record_send(time.monotonic(), is_same_run=bool(moved_from))
        try:
            channel.send(head + order.body, until)
            answer = channel.receive(order.method, order.incoming.sent_id, until)
        except channels.CONNECTION_ERRORS as error:
            progress.timed_out = time.monotonic() >= order.deadline
            raise backend.AnswerLost(
                f"no answer: {error!r}", step="read answer", peer=server
            ) from error
        self._announcements.record_answer(
            channel.entry, answer.status, answer.getheader, order.request
        )
        load = self._loads.read(channel.entry, answer.getheader, order.request)
        if load is not None:
            progress.load = requestprogress.LoadReading(server, load, time.monotonic())
        reply = replies.Reply(order, channel, answer)
        self._check_reply(order, reply, server, progress)
        progress.reply = reply
        return reply

    def _check_reply(
        self,
        order: orders.Order,
        reply: replies.Reply,
        server: ids.ServerId,
        progress: requestprogress.Progress,
    ) -> None:
        if reply.is_not_run:
            progress.exposure.record_not_run()
            is_misdirected = reply.status == 421
            is_gone = is_misdirected and not order.incoming.expects_version
            if is_gone:
                self._servers.remove(server)
            raise backend.Declined(
                f"status {reply.status}",
                leaving=is_gone,
                conditional=is_misdirected and not is_gone,
                step="send",
                peer=server,
            )
        if reply.is_success and not reply.is_signed:
            # An unsigned success may be unrelated data from another process.
            raise backend.AnswerLost(
                "success without a server signature", step="read answer", peer=server
            )

    def relay_stream(
        self,
        order: orders.Order,
        place: places.Slot,
        progress: requestprogress.Progress,
        reply: replies.Reply,
        sink: orders.Sink,
    ) -> None:
        """Relay a stream event by event; raises backend.AnswerLost."""
        if progress.version not in (catalog.NO_VERSION, reply.version):
            raise reply.make_answer_lost("the server has another version")
        buffer = self._buffers.open()
        try:
            self._relay_events(order, place, progress, reply, buffer, sink)
        finally:
            buffer.release()
        if _may_be_stopped(place, reply):
            raise reply.make_answer_lost("the run was stopped for a migration")
        self.check_end(progress, reply)
        if not progress.is_answering:
            sink.write_head(reply.status, reply.reason, _list_stream_headers(reply))
        sink.finish()

    def check_end(
        self, progress: requestprogress.Progress, reply: replies.Reply
    ) -> None:
        """Check that an answer was not ended by a crash of its server.

        Raises
        ------
        backend.AnswerLost
            If it ended with its connection and its server refuses another one.
        """
        if reply.framing is not replies.Framing.CONNECTION:
            progress.is_end_confirmed = True
            return
        is_alive = self._crashwatch.check_alive(reply.entry)
        progress.is_end_confirmed = is_alive is True
        if is_alive is False:
            raise reply.make_answer_lost("the server has crashed")

    def _relay_events(
        self,
        order: orders.Order,
        place: places.Slot,
        progress: requestprogress.Progress,
        reply: replies.Reply,
        buffer: replybuffers.ReplyBuffer,
        sink: orders.Sink,
    ) -> None:
        for event in reply.read_events(progress.last_event, buffer):
            progress.record_event(time.monotonic())
            if not place.is_begun:
                self._begin(order, place, progress, reply)
            if not progress.is_answering:
                progress.is_answering = True
                sink.write_head(reply.status, reply.reason, _list_stream_headers(reply))
            sink.write(event.data)
            progress.last_event = event.last_id or progress.last_event

    def _begin(
        self,
        order: orders.Order,
        place: places.Slot,
        progress: requestprogress.Progress,
        reply: replies.Reply,
    ) -> None:
        """Report the first event of a run before it is passed on to the caller."""
        if not progress.version:
            progress.version = streamversions.find_begun_version(
                reply.entry, self._servers.measure_age(), reply.connection_age
            )
        load = progress.take_load(place.server)
        if not order.route.is_resumable:
            self._places.begin(place, order.request, catalog.NO_VERSION, load)
            return
        origin = order.incoming.origin or order.request
        self._origins.record(origin, order.service, progress.version)
        self._places.begin(place, origin, progress.version, load)

    def resume(
        self,
        order: orders.Order,
        place: places.Slot,
        progress: requestprogress.Progress,
        sink: orders.Sink,
    ) -> bool:
        """Resume a run that was stopped for a migration; returns whether it completed.

        If the target engine does not resume the copy, the source engine is asked to
        resume the run: it keeps the run's state.
        """
        migration = self._migrations.take_copy(place)
        if migration is None or migration.copy is None:
            return False
        source, target = migration.source, migration.target
        moved_from = engines.format_copy(source.address, migration.copy)
        for entry in (target, source) if migration.copy.is_at_target else (source,):
            refusal = self._find_resumption_refusal(
                entry, progress.version, has_slot=entry is target
            )
            if refusal:
                _log_resumption(order, progress, entry.server, refusal)
                continue
            try:
                reply, channel = self._request_resumption(
                    order, entry, progress, moved_from
                )
            except backend.AnswerLost as lost:
                self._crashwatch.record_loss(order, entry, progress, lost)
                _log_resumption(order, progress, entry.server, str(lost))
                continue
            except (backend.Declined, errors.NotRun) as error:
                _log_resumption(order, progress, entry.server, str(error))
                continue
            is_moved = entry is target
            self._places.settle_migration(place, target.server, is_moved=is_moved)
            _log_resumption(order, progress, entry.server, "")
            return self._relay_rest(order, place, progress, reply, channel, sink)
        self._places.settle_migration(place, target.server, is_moved=False)
        return False

    def _find_resumption_refusal(
        self,
        entry: catalog.ServerEntry,
        version: ids.SoftwareVersion,
        *,
        has_slot: bool,
    ) -> str:
        """Return why a run may not be resumed at a server; empty if it may.

        Parameters
        ----------
        has_slot : bool
            Whether the home has reserved a slot for it; a cold server requires one.
        """
        if self._evacuations.is_evacuated(entry.data_centre):
            return "evacuated"
        try:
            self._announcements.check(entry)
        except errors.NotRun as refusal:
            return refusal.message
        known = self._servers.find(entry.server)
        if any(
            not streamversions.may_continue(each, version)
            for each in (entry, known)
            if each is not None
        ):
            return "the server has another version"
        if known is not None and known.is_leaving:
            return "the server is leaving"
        if not has_slot and known is not None and known.is_cold(time.monotonic()):
            return "the server is cold"
        return ""

    def _request_resumption(
        self,
        order: orders.Order,
        entry: catalog.ServerEntry,
        progress: requestprogress.Progress,
        moved_from: str,
    ) -> tuple[replies.Reply, channels.Channel]:
        """Ask an engine to resume a run; returns its answer's head and the channel.

        Raises
        ------
        errors.NotRun
            If the engine is unreachable, or the request was quarantined meanwhile.
        backend.Declined, backend.AnswerLost
            If the engine does not resume the run.
        """
        self._quarantine.check(order, progress)
        channel = self._channels.open(entry, at_most_once=True)
        self._quarantine.record_sent(order, progress)
        order.cancellation.on_cancel(channel.make_abort_callback())
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

    def _relay_rest(
        self,
        order: orders.Order,
        place: places.Slot,
        progress: requestprogress.Progress,
        reply: replies.Reply,
        channel: channels.Channel,
        sink: orders.Sink,
    ) -> bool:
        """Relay the rest of a stream; returns whether it completed."""
        is_whole = False
        try:
            self.relay_stream(order, place, progress, reply, sink)
            is_whole = True
        except backend.AnswerLost as lost:
            self._crashwatch.record_loss(order, channel.entry, progress, lost)
            _log_resumption(order, progress, channel.server, str(lost))
        finally:
            if is_whole:
                self._channels.release(channel)
            else:
                channel.close()
        return is_whole


def _list_stream_headers(reply: replies.Reply) -> list[tuple[str, str]]:
    """Return the headers of a stream for the caller, who gets it in chunks.

    The length of a part is not that of the whole, and a server may state several.
    """
    return [each for each in reply.headers if each[0].lower() != "content-length"]


def _may_be_stopped(place: places.Slot, reply: replies.Reply) -> bool:
    """Whether a stream may have ended because its run was stopped for a migration.

    The connection ends in the same way if the run is complete.
    """
    migration = place.latest_migration
    return (
        migration is not None
        and reply.framing is replies.Framing.CONNECTION
        and reply.entry.server == migration.source.server
        and migration.may_have_stopped()
    )


def _log_resumption(
    order: orders.Order,
    progress: requestprogress.Progress,
    server: ids.ServerId,
    error: str,
) -> None:
    """Log that a server resumes a stream, or the error that prevents it."""
    events.log(
        events.Event.STREAM_RESUMED,
        request=order.request,
        server=server,
        above=progress.last_event,
        error=error,
    )


def _format_request_head(
    order: orders.Order,
    server: ids.ServerId,
    left: float,
    last_event: str,
    moved_from: str = "",
    fetched_from: str = "",
) -> bytes:
    """Return the request line and headers for one server."""
    headers = requests.write_headers(
        order.incoming,
        server=server,
        account=order.account,
        seconds_left=left,
        last_event=last_event,
        moved_from=moved_from,
        fetched_from=fetched_from,
    )
    if order.body or order.method not in ("GET", "HEAD", "DELETE"):
        headers.append(("Content-Length", str(len(order.body))))
    lines = [order.method.encode() + b" " + order.target + b" HTTP/1.1"]
    lines += [f"{name}: {value}".encode("latin-1") for name, value in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def write_reply(sink: orders.Sink, reply: replies.Reply, body: bytes) -> None:
    """Write an answer whose body was read completely."""
    headers = _list_stream_headers(reply)
    headers.append(("Content-Length", str(len(body))))
    sink.write_head(reply.status, reply.reason, headers)
    sink.write(body)
    sink.finish()


def write_long_reply(
    sink: orders.Sink, reply: replies.Reply, start: bytes, rest: Iterator[bytes]
) -> None:
    """Write an answer longer than its buffer as it arrives, but not its end.

    Raises
    ------
    backend.AnswerLost
        If the body breaks off; the caller then sees that it is incomplete.
    """
    headers = _list_stream_headers(reply)
    if reply.length is not None:
        headers.append(("Content-Length", str(len(start) + reply.length)))
    sink.write_head(reply.status, reply.reason, headers)
    sink.write(start)
    for piece in rest:
        sink.write(piece)
