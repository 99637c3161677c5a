"""Frames to bytes and back, by Cap'n Proto's packed encoding.

The schema is loaded at run time, so that no generator is needed. Fields are copied by
name between the typed messages and the schema; each text (ids, states, addresses)
stands once in a frame and is named by its place.
"""

from __future__ import annotations

import enum
import functools
import importlib.resources
import re
import typing
from collections.abc import Callable

import capnp

from celeryspan import errors, ids
from celeryspan.wire import messages

FRAME_BYTES_MAX = 4_194_304
"""Greatest encoded frame, in bytes: a compressed configuration of 10,000 servers is
a twentieth of it."""

READ_WORDS_MAX = 1_048_576
"""Greatest frame after unpacking, in words of 8 bytes: packed zeros shrink a thousand
times, so that a small hostile frame could otherwise fill the memory."""

SEPARATOR = "\0"

Encode = Callable[[typing.Any, dict[str, int]], object]
Decode = Callable[[typing.Any, list[str]], object]

CONVERTERS: dict[object, tuple[Encode, Decode]] = {}


def register_converter(
    *types: object,
) -> Callable[[Callable[[], tuple[Encode, Decode]]], object]:
    """Put the pair of functions that carry values of some types into the registry."""

    def decorate(make: Callable[[], tuple[Encode, Decode]]) -> object:
        for each in types:
            CONVERTERS[each] = make()
        return make

    return decorate


def encode(frame: messages.Frame) -> bytes:
    """Return the bytes of a frame.

    Raises
    ------
    ValueError
        If a text holds the separator, or a number does not fit its field.
    """
    places: dict[str, int] = {}
    builder = _schema().Frame.new_message()
    builder.sender = _place(frame.sender, places)
    builder.incarnation = frame.incarnation
    builder.sequence = frame.sequence
    entries = builder.init("messages", len(frame.messages))
    try:
        for entry, message in zip(entries, frame.messages, strict=True):
            kind, fields = _layouts()[type(message)]
            body = entry.init(kind)
            for name, wire_name, (to_wire, _) in fields:
                setattr(body, wire_name, to_wire(getattr(message, name), places))
    except (capnp.KjException, OverflowError) as error:
        raise ValueError(f"a message does not fit the schema: {error}") from error
    builder.texts = SEPARATOR.join(places).encode()
    return builder.to_bytes_packed()


def decode(data: bytes) -> messages.Frame:
    """Read a frame; messages of unknown kinds and states are left out.

    Raises
    ------
    errors.LinkError
        If the bytes are not a frame.
    """
    if len(data) > FRAME_BYTES_MAX:
        raise errors.LinkError("the frame is too long", step="decode")
    try:
        return _read_frame(data)
    except (capnp.KjException, ValueError, IndexError) as error:
        raise errors.LinkError(f"not a frame: {error}", step="decode") from error


def name_kind(kind: type) -> str:
    """Return the name of a kind of message in metrics, such as ``grant_used``."""
    return _snake(kind.__name__)


def _read_frame(data: bytes) -> messages.Frame:
    reader = _schema().Frame.from_bytes_packed(
        data, traversal_limit_in_words=READ_WORDS_MAX
    )
    texts = bytes(reader.texts).decode().split(SEPARATOR)
    found = []
    for entry in reader.messages:
        message = _read_message(entry, texts)
        if message is not None:
            found.append(message)
    return messages.Frame(
        sender=ids.RouterId(texts[reader.sender]),
        incarnation=ids.Incarnation(reader.incarnation),
        sequence=reader.sequence,
        messages=tuple(found),
    )


def _read_message(entry: typing.Any, texts: list[str]) -> messages.Message | None:
    """Read one union member.

    A newer router sends members and states that this version does not know; without
    the two guards its whole frame would be refused, and a rolling upgrade would cut
    the fleet in two.
    """
    try:
        kind = entry.which()
    except capnp.KjException:
        return None
    make, fields = _makers()[str(kind)]
    body = getattr(entry, str(kind))
    try:
        values = [
            from_wire(getattr(body, wire_name), texts)
            for _, wire_name, (_, from_wire) in fields
        ]
    except _UnknownState:
        return None
    return make(*values)


class _UnknownState(Exception):
    """A state that this version does not know."""


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
        layouts[kind] = (_camel(_snake(kind.__name__)), _list_fields(kind))
    return layouts


@functools.cache
def _makers() -> dict[str, tuple[type, Fields]]:
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
    return [(name, _camel(name), _find_converter(hint)) for name, hint in hints.items()]


def _make_list_converter(kind: type) -> tuple[Encode, Decode]:
    """Return the converter of a tuple of values of one class."""
    fields = _list_fields(kind)

    def write(items: tuple, places: dict[str, int]) -> list[dict[str, object]]:
        return [
            {
                wire_name: to_wire(getattr(item, name), places)
                for name, wire_name, (to_wire, _) in fields
            }
            for item in items
        ]

    def read(entries: typing.Any, texts: list[str]) -> tuple:
        return tuple(
            kind(
                *(
                    from_wire(getattr(entry, wire_name), texts)
                    for _, wire_name, (_, from_wire) in fields
                )
            )
            for entry in entries
        )

    return write, read


def _place(text: str, places: dict[str, int]) -> int:
    place = places.get(text)
    if place is None:
        if SEPARATOR in text:
            raise ValueError(f"a text holds the separator: {text!r}")
        place = places[text] = len(places)
    return place


def _make_state_converter(kind: type[enum.Enum]) -> tuple[Encode, Decode]:
    states = {state.value: state for state in kind}

    def read(place: int, texts: list[str]) -> enum.Enum:
        state = states.get(texts[place])
        if state is None:
            raise _UnknownState(texts[place])
        return state

    return lambda state, places: _place(state.value, places), read


@register_converter(str)
def _make_text_converter() -> tuple[Encode, Decode]:
    return _place, lambda place, texts: texts[place]


@register_converter(bool, int, float)
def _make_number_converter() -> tuple[Encode, Decode]:
    return lambda value, _: value, lambda value, _: value


@register_converter(bytes)
def _make_bytes_converter() -> tuple[Encode, Decode]:
    return lambda value, _: value, lambda value, _: bytes(value)


@register_converter(ids.Address)
def _make_address_converter() -> tuple[Encode, Decode]:
    return (
        lambda address, places: _place(str(address), places),
        lambda place, texts: ids.Address.parse(texts[place]),
    )


@register_converter(tuple[tuple[ids.AccountId, float], ...])
def _make_held_converter() -> tuple[Encode, Decode]:
    return (
        lambda grants, places: [
            {"account": _place(account, places), "cost": cost}
            for account, cost in grants
        ],
        lambda entries, texts: tuple(
            (ids.AccountId(texts[entry.account]), entry.cost) for entry in entries
        ),
    )


@register_converter(tuple[ids.ServerId, ...])
def _make_servers_converter() -> tuple[Encode, Decode]:
    return (
        lambda servers, places: [_place(server, places) for server in servers],
        lambda entries, texts: tuple(ids.ServerId(texts[entry]) for entry in entries),
    )


def _snake(name: str) -> str:
    return re.sub(r"(?<=[a-z])(?=[A-Z])", "_", name).lower()


def _camel(name: str) -> str:
    first, *rest = name.split("_")
    return first + "".join(part.capitalize() for part in rest)
