"""Tickets survive encoding, and only those signed by the fleet are accepted."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from celeryspan import errors, ids
from celeryspan.decisions import tickets

TICKET = tickets.Ticket(ids.RouterId("entry-1"), ids.Incarnation(7), 3, 1000)


def test_ticket_survives_encoding() -> None:
    text = tickets.encode_ticket(["new", "old"], TICKET)
    assert tickets.decode_ticket(["new"], text) == TICKET


def test_old_and_new_key_are_valid_during_rotation() -> None:
    text = tickets.encode_ticket(["old"], TICKET)
    assert tickets.decode_ticket(["new", "old"], text) == TICKET
    with pytest.raises(errors.NotRun):
        tickets.decode_ticket(["new"], text)


def test_forwarding_proof_is_not_accepted_as_ticket() -> None:
    proof = tickets.ForwardingProof(ids.RouterId("entry-1"), ids.RequestId("r1"))
    text = tickets.encode_forwarding_proof(["key"], proof)
    assert tickets.decode_forwarding_proof(["key"], text) == proof
    with pytest.raises(errors.NotRun):
        tickets.decode_ticket(["key"], text)


@hypothesis.given(text=strategies.text())
def test_arbitrary_text_is_not_accepted_as_ticket(text: str) -> None:
    with pytest.raises(errors.NotRun):
        tickets.decode_ticket(["key"], text)


@hypothesis.given(
    position=strategies.integers(0, 60), character=strategies.sampled_from("09af")
)
def test_modified_ticket_is_refused(position: int, character: str) -> None:
    text = tickets.encode_ticket(["key"], TICKET)
    changed = text[:position] + character + text[position + 1 :]
    hypothesis.assume(changed != text)
    with pytest.raises(errors.NotRun):
        tickets.decode_ticket(["key"], changed)
