"""Tickets hold what was signed, and nothing else passes for one."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from celeryspan import errors, ids
from celeryspan.decisions import tickets

TICKET = tickets.Ticket(ids.RouterId("entry-1"), ids.Incarnation(7), 3, 1000)


def test_a_ticket_survives_its_text() -> None:
    text = tickets.encode_ticket(["new", "old"], TICKET)
    assert tickets.decode_ticket(["new"], text) == TICKET


def test_two_keys_are_valid_while_they_are_rotated() -> None:
    text = tickets.encode_ticket(["old"], TICKET)
    assert tickets.decode_ticket(["new", "old"], text) == TICKET
    with pytest.raises(errors.NotRun):
        tickets.decode_ticket(["new"], text)


def test_a_proof_of_forwarding_is_no_ticket() -> None:
    proof = tickets.ForwardingProof(ids.RouterId("entry-1"), ids.RequestId("r1"))
    text = tickets.encode_forwarding_proof(["key"], proof)
    assert tickets.decode_forwarding_proof(["key"], text) == proof
    with pytest.raises(errors.NotRun):
        tickets.decode_ticket(["key"], text)


@hypothesis.given(text=strategies.text())
def test_garbage_is_no_ticket(text: str) -> None:
    with pytest.raises(errors.NotRun):
        tickets.decode_ticket(["key"], text)


@hypothesis.given(
    place=strategies.integers(0, 60), letter=strategies.sampled_from("09af")
)
def test_a_changed_ticket_is_refused(place: int, letter: str) -> None:
    text = tickets.encode_ticket(["key"], TICKET)
    changed = text[:place] + letter + text[place + 1 :]
    hypothesis.assume(changed != text)
    with pytest.raises(errors.NotRun):
        tickets.decode_ticket(["key"], changed)
