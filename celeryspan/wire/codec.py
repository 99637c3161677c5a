"""Encodes and decodes frames in Cap'n Proto's packed encoding.

The schema is loaded at run time, which avoids a code generator. Fields are copied by
name between the typed messages and the schema. Strings (ids, states, addresses) are
stored once per frame, in a string table, and referenced by index.
"""

from __future__ import annotations

import enum
import functools
import importlib.resources
import math
import re
import struct
import typing
from collections.abc import Callable

import capnp
import msgspec

from celeryspan import errors, ids, untrusted
from celeryspan.wire import messages

FRAME_BYTES_MAX = 4_194_304
"""Limit of an encoded frame; a compressed configuration of 10,000 servers takes a
twentieth of it."""

UNPACKED_WORDS_MAX = 1_048_576
"""Limit of an unpacked frame, in words of 8 bytes. Packing shrinks zeros a thousand
times, so a small malicious frame could otherwise exhaust the memory."""

SEGMENTS_MAX = 512
"""Maximum segments of an unpacked frame, as in Cap'n Proto's own reader."""

RAW_RUN_BYTES_MAX = 8 * 256
"""Longest run of bytes that the packed encoding copies unchanged."""

SEPARATOR = "\0"

Encode = Callable[[typing.Any, dict[str, int]], object]
Decode = Callable[[typing.Any, list[str]], object]

CONVERTERS: dict[object, tuple[Encode, Decode]] = {}


def register_converter(
    *types: object,
) -> Callable[[Callable[[], tuple[Encode, Decode]]], object]:
    """Register the encoder and decoder made by a function for some types."""

    def decorate(make: Callable[[], tuple[Encode, Decode]]) -> object:
        for each in types:
            CONVERTERS[each] = make()
        return make

    return decorate


def encode(frame: messages.Frame) -> bytes:
    """Encode a frame.

    Raises
    ------
    ValueError
        If a string contains the separator, or a number does not fit its field.
    """
    indexes: dict[str, int] = {}
    builder = _schema().Frame.new_message()
    builder.sender = _intern(frame.sender, indexes)
    builder.incarnation = frame.incarnation
    builder.sequence = frame.sequence
    entries = builder.init("messages", len(frame.messages))
    try:
        for entry, message in zip(entries, frame.messages, strict=True):
            kind, fields = _layouts()[type(message)]
            body = entry.init(kind)
            for name, wire_name, (to_wire, _) in fields:
                value = to_wire(getattr(message, name), indexes)
                if value is not None:
                    setattr(body, wire_name, value)
    except (capnp.KjException, *untrusted.MALFORMED_ERRORS) as error:
        raise ValueError(f"a message does not fit the schema: {error}") from error
    builder.texts = SEPARATOR.join(indexes).encode()
    return builder.to_bytes_packed()


def decode(data: bytes) -> messages.Frame:
    """Decode a frame; messages of unknown kinds or with unknown states are skipped.

    Raises
    ------
    errors.LinkError
        If the data is not a valid frame.
    """
    if len(data) > FRAME_BYTES_MAX:
        raise errors.LinkError(
            f"the frame exceeds {FRAME_BYTES_MAX} bytes", step="decode"
        )
    try:
        return _decode_frame(data)
    except (capnp.KjException, *untrusted.MALFORMED_ERRORS) as error:
        raise errors.LinkError(f"malformed frame: {error}", step="decode") from error


def metric_name(kind: type) -> str:
    """Return the metrics label of a message type, such as ``grant_used``."""
    return _to_snake_case(kind.__name__)


def _decode_frame(data: bytes) -> messages.Frame:
    reader = _schema().Frame.from_bytes_packed(
        _pad(data), traversal_limit_in_words=UNPACKED_WORDS_MAX
    )
    strings = bytes(reader.texts).decode().split(SEPARATOR)
    found = []
    for entry in reader.messages:
        message = _decode_message(entry, strings)
        if message is not None:
            found.append(message)
    return messages.Frame(
        sender=ids.RouterId(strings[reader.sender]),
        incarnation=ids.Incarnation(reader.incarnation),
        sequence=reader.sequence,
        messages=tuple(found),
    )


def _pad(data: bytes) -> bytes:
    """Append zeros, as many as the unpacked frame is stated to hold.

    A packed frame that ends before its stated size aborts the process in pycapnp; with
    the zeros, what is missing reads as default values.

    Raises
    ------
    ValueError, IndexError
        If the frame has no valid table of segments, or is too large.
    """
    more_segments, words = struct.unpack_from("<II", _unpack(data, 1))
    if more_segments >= SEGMENTS_MAX:
        raise ValueError(f"expected {SEGMENTS_MAX} segments at most")
    if more_segments:
        table = _unpack(data, 2 + more_segments // 2)
        words += sum(struct.unpack_from(f"<{more_segments}I", table, 8))
    if words > UNPACKED_WORDS_MAX:
        raise ValueError(f"expected {UNPACKED_WORDS_MAX} words at most, found {words}")
    return data + bytes(2 * words + RAW_RUN_BYTES_MAX)


def _unpack(data: bytes, words: int) -> bytes:
    """Return at least the first words of a packed message."""
    unpacked = bytearray()
    place = 0
    while len(unpacked) < 8 * words:
        tag = data[place]
        place += 1
        for bit in range(8):
            if tag >> bit & 1:
                unpacked.append(data[place])
                place += 1
            else:
                unpacked.append(0)
        if tag == 0x00:
            unpacked += bytes(8 * data[place])
            place += 1
        elif tag == 0xFF:
            end = place + 1 + 8 * data[place]
            unpacked += data[place + 1 : end]
            place = end
    return bytes(unpacked)


def _decode_message(entry: typing.Any, strings: list[str]) -> messages.Message | None:
    """Decode one union member, or return None if this version does not know it.

    A newer router may send unknown members and states. Rejecting its whole frame would
    partition the fleet during a rolling upgrade.
    """
    try:
        kind = entry.which()
    except capnp.KjException:
        return None
    message_type, fields = _message_types()[str(kind)]
    body = getattr(entry, str(kind))
    try:
        values = [
            from_wire(getattr(body, wire_name), strings)
            for _, wire_name, (_, from_wire) in fields
        ]
    except _UnknownState:
        return None
    return message_type(*values)


class _UnknownState(Exception):
    """The state is unknown to this version."""


Fields = list[tuple[str, str, tuple[Encode, Decode]]]


@functools.cache
def _schema() -> typing.Any:
    capnp.remove_import_hook()
    path = importlib.resources.files("celeryspan.wire") / "peer.capnp"
    with importlib.resources.as_file(path) as file:
        return capnp.load(str(file))


@functools.cache
def _layouts() -> dict[type, tuple[str, Fields]]:
    layouts = {}
    for kind in typing.get_args(messages.Message):
        layouts[kind] = (
            _to_camel_case(_to_snake_case(kind.__name__)),
            _list_fields(kind),
        )
    return layouts


@functools.cache
def _message_types() -> dict[str, tuple[type, Fields]]:
    return {name: (kind, fields) for kind, (name, fields) in _layouts().items()}


def _find_converter(hint: object) -> tuple[Encode, Decode]:
    if isinstance(hint, type) and issubclass(hint, enum.Enum):
        return _make_state_converter(hint)
    if hint not in CONVERTERS and typing.get_origin(hint) is tuple:
        return _make_list_converter(typing.get_args(hint)[0])
    if hint not in CONVERTERS:
        hint = getattr(hint, "__supertype__", hint)
    return CONVERTERS[hint]


def _list_fields(kind: type) -> Fields:
    hints = typing.get_type_hints(kind)
    return [
        (name, _to_camel_case(name), _find_converter(hint))
        for name, hint in hints.items()
    ]


def _make_list_converter(kind: type) -> tuple[Encode, Decode]:
    """Return the converter for a tuple of instances of a class."""
    fields = _list_fields(kind)

    def write(items: tuple, indexes: dict[str, int]) -> list[dict[str, object]]:
        return [
            {
                wire_name: to_wire(getattr(item, name), indexes)
                for name, wire_name, (to_wire, _) in fields
            }
            for item in items
        ]

    def read(entries: typing.Any, strings: list[str]) -> tuple:
        return tuple(
            kind(
                *(
                    from_wire(getattr(entry, wire_name), strings)
                    for _, wire_name, (_, from_wire) in fields
                )
            )
            for entry in entries
        )

    return write, read


def _intern(text: str, indexes: dict[str, int]) -> int:
    index = indexes.get(text)
    if index is None:
        if SEPARATOR in text:
            raise ValueError(f"the string contains the separator: {text!r}")
        index = indexes[text] = len(indexes)
    return index


def _make_state_converter(kind: type[enum.Enum]) -> tuple[Encode, Decode]:
    states = {state.value: state for state in kind}

    def read(index: int, strings: list[str]) -> enum.Enum:
        state = states.get(strings[index])
        if state is None:
            raise _UnknownState(strings[index])
        return state

    return lambda state, indexes: _intern(state.value, indexes), read


@register_converter(str)
def _make_string_converter() -> tuple[Encode, Decode]:
    return _intern, lambda index, strings: strings[index]


@register_converter(ids.SoftwareVersion)
def _make_optional_string_converter() -> tuple[Encode, Decode]:
    return (
        lambda text, indexes: _intern(text, indexes) + 1 if text else 0,
        lambda index, strings: strings[index - 1] if index else "",
    )


@register_converter(bool, int, float)
def _make_number_converter() -> tuple[Encode, Decode]:
    return lambda value, _: value, lambda value, _: value


@register_converter(bytes)
def _make_bytes_converter() -> tuple[Encode, Decode]:
    return lambda value, _: value, lambda value, _: bytes(value)


@register_converter(ids.Address)
def _make_address_converter() -> tuple[Encode, Decode]:
    return (
        lambda address, indexes: _intern(str(address), indexes),
        lambda index, strings: ids.Address.parse(strings[index]),
    )


@register_converter(tuple[tuple[ids.AccountId, float], ...])
def _make_held_grants_converter() -> tuple[Encode, Decode]:
    return (
        lambda grants, indexes: [
            {"account": _intern(account, indexes), "cost": cost}
            for account, cost in grants
        ],
        lambda entries, strings: tuple(
            (ids.AccountId(strings[entry.account]), entry.cost) for entry in entries
        ),
    )


@register_converter(messages.LoadReport | None)
def _make_load_report_converter() -> tuple[Encode, Decode]:
    def read(entry: typing.Any, _: list[str]) -> messages.LoadReport | None:
        pace = entry.pace
        if not 0.0 < pace < math.inf:
            return None
        return messages.LoadReport(
            entry.running, entry.waiting, entry.slots, pace, entry.age
        )

    return lambda report, _: report and msgspec.structs.asdict(report), read


@register_converter(tuple[ids.ServerId, ...])
def _make_servers_converter() -> tuple[Encode, Decode]:
    return (
        lambda servers, indexes: [_intern(server, indexes) for server in servers],
        lambda entries, strings: tuple(
            ids.ServerId(strings[entry]) for entry in entries
        ),
    )


def _to_snake_case(name: str) -> str:
    return re.sub(r"(?<=[a-z])(?=[A-Z])", "_", name).lower()


def _to_camel_case(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.capitalize() for part in rest)
