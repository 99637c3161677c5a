"""What counts as the same request."""

from __future__ import annotations

import pytest

from celeryspan.decisions import fingerprints

FIELDS = ("desk.example", b"/drafts/1?page=2", "tower", "POST", b"body")


def make(*fields: object, key: str = "fleet") -> fingerprints.Fingerprint:
    """Return the fingerprint of some fields."""
    return fingerprints.Fingerprinter(key).compute(*fields)


def test_copies_of_a_request_have_one_fingerprint() -> None:
    assert make(*FIELDS) == make(*FIELDS)


@pytest.mark.parametrize("index", range(len(FIELDS)))
def test_requests_that_differ_anywhere_have_other_fingerprints(index: int) -> None:
    other = list(FIELDS)
    other[index] = other[index] + (b"x" if index in (1, 4) else "x")
    assert make(*other).whole != make(*FIELDS).whole
    assert (make(*other).scope == make(*FIELDS).scope) is (index > 2)


def test_text_that_moves_to_the_next_field_changes_the_fingerprint() -> None:
    assert make("ab", b"c", "", "GET", b"") != make("a", b"bc", "", "GET", b"")


def test_fingerprints_of_another_fleet_can_not_be_found() -> None:
    assert make(*FIELDS, key="another") != make(*FIELDS)


def test_fingerprint_is_written_with_all_its_digits() -> None:
    assert str(fingerprints.Fingerprint(1, 0xAB)) == "00000000000000ab"
