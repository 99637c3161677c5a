"""Frames round-trip; malformed and newer ones are handled."""

from __future__ import annotations

import contextlib
import re

import capnp
import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from celeryspan import errors, ids, states
from celeryspan.platform import objects
from celeryspan.wire import codec, messages

ERA = ids.Era(10**objects.ERA_DIGITS_MAX - 1)
ADDRESS = ids.Address("127.0.0.1", 7000)

SAMPLES = (
    messages.Demand("planner-llm", "desk", 3, 1.5, 7, 420.0),
    messages.Grant(9, "gpu-1", "planner-llm", "desk", 0.25),
    messages.GrantUsed(9, "gpu-1", "desk", 400.0),
    messages.GrantEnded(9, "gpu-1", "desk", 411.25),
    messages.SlotsHeld("gpu-1", (("desk", 400.0), ("crew", 1.0))),
    messages.Counter("r-1", 2**60, "planner-llm", "desk", 1e9),
    messages.Member(
        "r-1", 5, states.MemberState.SUSPECT, "hala-a", ADDRESS, ADDRESS, 4, 1
    ),
    messages.Member(
        "r-2", 5, states.MemberState.ALIVE, "hala-a", ADDRESS, ADDRESS, 4, 1, 2.151
    ),
    messages.Member(
        "r-3",
        5,
        states.MemberState.ALIVE,
        "hala-a",
        ADDRESS,
        ADDRESS,
        4,
        1,
        era=ERA,
        version=2**63 - 1,
    ),
    messages.Probe(1, 2**63),
    messages.ProbeRequest(1, "r-2"),
    messages.Ack(1, "r-2"),
    messages.ServerFact("gpu-1", states.ServerState.LEAVING, 12),
    messages.Vote("gpu-1", True),
    messages.Snapshot(
        (messages.Counter("r-1", 2**60, "planner-llm", "desk", 1e9),),
        (messages.Lift("planner-llm", "desk", 812.5),),
        (messages.Total("planner-llm", "desk", 7.0),),
        (messages.Gone("r-1", 2**59),),
    ),
    messages.ConfigurationOffer(3),
    messages.ConfigurationRequest(2),
    messages.ConfigurationRequest(2, ERA, 2**63 - 1),
    messages.ConfigurationValue(3, b"\0\1", ERA),
    messages.Hello(1, b"n" * 16),
    messages.Proof(b"d" * 32),
    messages.Heartbeat(),
    messages.MembersRequest(),
    messages.Lift("planner-llm", "desk", 812.5),
    messages.Pressure("planner-llm", 3, 7, 16),
    messages.Pending("planner-llm", "desk", 420.0, 3),
    messages.SlotRequest(
        "q-1",
        "planner-llm",
        "desk",
        "hala-a",
        (messages.PromptPart("5c1e", 800), messages.PromptPart("91bd", 410)),
        1210,
        80,
        0.25,
        0.5,
        15.0,
        0.25,
        6,
        ("gpu-1", "gpu-2"),
        version="v1.2",
    ),
    messages.SlotCancel("q-1", "planner-llm"),
    messages.SlotOffer("q-1", "planner-llm#1#0", "gpu-1", 0.5, "gpu-2"),
    messages.SlotRefusal("q-1", "planner-llm#1#0", 0.5, "no-place-in-time", 0.25),
    messages.RunHeld("q-1", "planner-llm", "desk", "gpu-1", (), 1210, True, 2.5),
    messages.RunBegun("q-1", "planner-llm", "gpu-1", "q-0", "v1.2"),
    messages.RunBegun(
        "q-1", "planner-llm", "gpu-1", load=messages.LoadReport(3, 1, 6, 2.5, 0.25)
    ),
    messages.RunMove("q-1", "planner-llm#1#0", "gpu-1", "gpu-2"),
    messages.RunMoved("q-1", "planner-llm#1#0", "gpu-1", "gpu-2", True),
    messages.Suspect(
        2**63,
        2**64 - 1,
        2**41,
        (
            messages.Strike("gpu-1@0", 2**41, 2, 150, True),
            messages.Strike("gpu-2@1784366053363", 2**41 + 9, 3, 9_000, False),
        ),
    ),
    messages.SuspectsDigest(2**64 - 1, True),
    messages.SuspectsStored(2**64 - 1, 2**40, ERA),
    messages.RunEnded("q-1", "planner-llm", "gpu-1", states.RunEnding.FAILED),
    messages.RunEnded(
        "q-1",
        "planner-llm",
        "gpu-1",
        states.RunEnding.REJECTED,
        load=messages.LoadReport(6, 2, 6, 0.5),
    ),
    messages.QueueAlive("planner-llm#1#0", 0.5),
    messages.PoolShares("planner-llm#8#3", 2, (messages.AccountUnits("desk", 420.0),)),
    messages.ServerDeparture("gpu-1", 2**41, 0.5),
    messages.ServerRest("planner-llm#1#0", "gpu-1", 2**41, 0.5, 2.5),
    messages.StreamOrigin("q-1", "planner-llm", "", 0.5),
    messages.StreamOrigins(
        (messages.StreamOrigin("q-1", "planner-llm", "v1.2", 0.5),),
    ),
    messages.OriginRequest("q-1"),
    messages.VersionsRequest("planner-llm"),
    messages.VersionsKnown("planner-llm", (messages.NamedVersion("v1"),)),
    messages.RelayRequest("servers", 2**40, ERA),
    messages.RelayBatch("servers", 7, 2**40, True, 0.5, False, b"[]", ERA),
    messages.RelayHold("servers", ERA, b"[]"),
)


def make_frame(*items: messages.Message) -> messages.Frame:
    return messages.Frame(ids.RouterId("r-1"), ids.Incarnation(5), 8, items)


def test_every_message_type_round_trips() -> None:
    frame = make_frame(*SAMPLES)
    assert {type(item) for item in SAMPLES} == set(codec._layouts())
    assert codec.decode(codec.encode(frame)) == frame


def test_version_that_an_older_router_does_not_send_is_empty() -> None:
    """Guards against the first string of a frame read as a software version."""
    begun = messages.RunBegun("q-1", "planner-llm", "gpu-1")
    (decoded,) = codec.decode(codec.encode(make_frame(begun))).messages
    assert decoded.version == ""


def test_strings_are_encoded_once_per_frame() -> None:
    grant = SAMPLES[1]
    one = len(codec.encode(make_frame(grant)))
    ten = len(codec.encode(make_frame(*[grant] * 10)))
    assert ten - one < 9 * 20


def test_newer_kinds_and_states_are_skipped(tmp_path) -> None:
    """During a rolling upgrade, half of the fleet runs a newer version.

    It sends a message type and a server state that this version does not know. If whole
    frames were rejected, each half would consider the other one dead.
    """
    source = codec.importlib.resources.files("celeryspan.wire") / "peer.capnp"
    newer = source.read_text().replace("0xd5c0a5be1f3a7c21", "0xd5c0a5be1f3a7c22")
    last = max(int(number) for number in re.findall(r"^    \w+ @(\d+) :", newer, re.M))
    newer = newer.replace(
        "    demand @0 :Demand;", f"    demand @0 :Demand; later @{last + 1} :Probe;"
    )
    (tmp_path / "newer.capnp").write_text(newer)
    schema = capnp.load(str(tmp_path / "newer.capnp"))
    frame = schema.Frame.new_message(texts=b"r-1\0gpu-1\0resting")
    entries = frame.init("messages", 3)
    entries[0].init("later").sequence = 1
    entries[1].init("serverFact").server = 1
    entries[1].serverFact.state = 2
    entries[2].init("probe").sequence = 6
    decoded = codec.decode(frame.to_bytes_packed())
    assert decoded.messages == (messages.Probe(6),)


def test_load_report_is_skipped_by_routers_of_the_previous_version(tmp_path) -> None:
    """Guards against a rolling upgrade in which ends of runs are not understood."""
    source = codec.importlib.resources.files("celeryspan.wire") / "peer.capnp"
    older = source.read_text().replace("0xd5c0a5be1f3a7c21", "0xd5c0a5be1f3a7c23")
    older, count = re.subn(r"  load @5 :LoadReport;\n", "", older)
    assert count == 2
    (tmp_path / "older.capnp").write_text(older)
    schema = capnp.load(str(tmp_path / "older.capnp"))
    load = messages.LoadReport(3, 1, 6, 2.5, 0.25)
    ended = messages.RunEnded("q-1", "p", "g-1", states.RunEnding.ANSWERED, 0.5, load)
    data = codec.encode(make_frame(ended))
    read = schema.Frame.from_bytes_packed(data).messages[0].runEnded
    assert (read.server, read.pause) == (3, 0.5)
    frame = schema.Frame.new_message(texts=b"r-1\0q-1\0p\0g-1\0answered")
    older_ended = frame.init("messages", 1)[0].init("runEnded")
    older_ended.request, older_ended.pool, older_ended.server = 1, 2, 3
    older_ended.ending, older_ended.pause = 4, 0.5
    (decoded,) = codec.decode(frame.to_bytes_packed()).messages
    assert decoded == msgspec.structs.replace(ended, load=None)


@hypothesis.given(strategies.binary(max_size=200))
def test_random_bytes_raise_link_error_or_decode(data: bytes) -> None:
    try:
        codec.decode(data)
    except errors.LinkError:
        pass


@hypothesis.given(strategies.data())
def test_corrupted_frames_raise_link_error_or_decode(data) -> None:
    corrupted = bytearray(codec.encode(make_frame(*SAMPLES)))
    for _ in range(data.draw(strategies.integers(1, 4))):
        index = data.draw(strategies.integers(0, len(corrupted) - 1))
        corrupted[index] = data.draw(strategies.integers(0, 255))
    try:
        codec.decode(bytes(corrupted))
    except errors.LinkError:
        pass


def test_frame_that_ends_before_its_stated_size_does_not_end_the_process() -> None:
    """Guards against one malformed frame that aborts the router."""
    data = codec.encode(make_frame(*SAMPLES))
    with contextlib.suppress(errors.LinkError):
        codec.decode(b"\x01" + data[1:])
    with contextlib.suppress(errors.LinkError):
        codec.decode(data[: len(data) // 2])


def test_small_frame_cannot_exhaust_the_memory() -> None:
    frame = make_frame(messages.ConfigurationValue(1, bytes(32 * 1024 * 1024)))
    data = codec.encode(frame)
    assert len(data) < codec.FRAME_BYTES_MAX
    with pytest.raises(errors.LinkError):
        codec.decode(data)


def test_out_of_range_numbers_are_rejected() -> None:
    with pytest.raises(ValueError, match="fit"):
        codec.encode(make_frame(messages.Probe(2**70)))
