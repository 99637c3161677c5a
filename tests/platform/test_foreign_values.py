"""Each field that another system fills in may hold anything."""

from __future__ import annotations

import copy
import json

import hypothesis
import pytest
from hypothesis import strategies

from celeryspan import catalog, errors, storedobjects
from celeryspan.decisions import coldstart
from celeryspan.platform import (
    announcements,
    catalogues,
    engines,
    evacuations,
    names,
    objects,
    quarantine,
    requests,
    routers,
    serverloads,
    servers,
    streamrecords,
)
from celeryspan.wire import codec, messages
from standins import sampleconfig
from tests import oddvalues
from tests.gateway import support

SETTINGS = hypothesis.settings(max_examples=300, derandomize=True, deadline=None)

SUSPECT = {
    "fingerprint": "00" * 16,
    "scope": "01" * 16,
    "acquitted_ms": 0,
    "kind": 0,
    "was_answered": False,
    "crashes": [["s1/1", 1, 0, 5, False]],
}


def make_stored(spec: object, name: str = "s1") -> storedobjects.StoredObject:
    """Return a stored object."""
    return storedobjects.StoredObject(name, 7, spec, None, False)


def list_paths(value: object, path: tuple = ()) -> list[tuple]:
    """Return the paths of all values within a document."""
    found = [path] if path else []
    items = (
        value.items()
        if isinstance(value, dict)
        else enumerate(value)
        if isinstance(value, list)
        else ()
    )
    for key, inner in items:
        found += list_paths(inner, (*path, key))
    return found


def replace_value(document: object, path: tuple, value: object) -> object:
    """Return a document with one value replaced."""
    changed = copy.deepcopy(document)
    inner = changed
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return changed


ENTRY = {**sampleconfig.make_entry("gate", "10.0.0.1:80"), "born": 1}
CONFIGURATION = support.make_configuration(3)
CONFIGURATION["services"][1]["engine"].update(kv_bytes=35_000, link_mbps=1e5)
DOCUMENTS = {
    "entry": (servers.read, ENTRY),
    "configuration": (catalogues.read, CONFIGURATION),
    "router": (routers.read, {"peer_address": "10.0.0.1:80", "data_centre": "a"}),
    "quarantine": (quarantine.read, {"requests": [SUSPECT]}),
}


@pytest.mark.parametrize("name", DOCUMENTS)
@hypothesis.given(data=strategies.data())
@SETTINGS
def test_any_value_of_a_stored_field_is_read_or_rejected(name: str, data) -> None:
    """Guards against restarted routers that an entry of another writer keeps out."""
    read, document = DOCUMENTS[name]
    path = data.draw(strategies.sampled_from(list_paths(document)))
    spec = replace_value(document, path, data.draw(oddvalues.VALUES))
    try:
        found = read(make_stored(spec))
    except errors.InputError as error:
        assert error.key
        return
    if isinstance(found, catalog.ServerEntry):
        assert min(found.cold_seconds, coldstart.COLD_SECONDS_MAX) >= 0
        assert (found.service + found.version + found.data_centre).isprintable()
    if isinstance(found, catalog.Catalogue):
        for route in found.routes:
            for seconds in (route.timeout, route.target_latency, route.gap_max):
                assert 0 <= seconds <= catalogues.SECONDS_MAX
            assert found.find_route(route.host, route.prefix) is not None
            route.choose_service("r1")


@hypothesis.given(name=oddvalues.ANY_TEXT)
@SETTINGS
def test_name_of_a_server_fits_the_messages_between_routers(name: str) -> None:
    """Guards against links that end by a name that no message can hold."""
    for read, spec in ((servers.read, ENTRY), (evacuations.read, {})):
        try:
            read(make_stored(spec, name))
        except errors.InputError:
            continue
        message = messages.OriginRequest(name)
        codec.decode(codec.encode(messages.Frame("edge-1", 1, 1, (message,))))


HEADERS = (
    names.TOKEN_COUNT,
    names.DEADLINE_MS,
    names.PROMPT_PARTS,
    names.LENGTH_HINT,
    names.LAST_EVENT,
    names.RESUMES,
)


@hypothesis.given(
    name=strategies.sampled_from(HEADERS),
    text=oddvalues.HEADER_TEXTS,
    count=strategies.sampled_from(("", "10,20")),
)
@SETTINGS
def test_any_header_of_a_caller_is_read_or_rejected(
    name: str, text: str, count: str
) -> None:
    """Guards against answers 500 to callers whose numbers are out of range."""
    try:
        found = requests.read({names.TOKEN_COUNT: count, name: text})
    except errors.InputError as error:
        assert error.key == name
        return
    assert 0 <= found.prompt_tokens <= requests.TOKENS_MAX
    assert 0 <= found.output_tokens <= requests.TOKENS_MAX
    assert found.timeout is None or 0 <= found.timeout <= requests.TIMEOUT_SECONDS_MAX
    requests.write_headers(
        found, server="s1", account=None, seconds_left=found.timeout or 1.0
    )


@hypothesis.given(text=oddvalues.HEADER_TEXTS)
@SETTINGS
def test_any_header_of_a_server_is_read(text: str) -> None:
    """Guards against answers that are lost by what a server states beside them."""
    announcements.read(503, {names.RETRY_AFTER: text, names.LEAVING: text}.get)
    serverloads.read({names.LOAD: text}.get)
    serverloads.read({names.LOAD: f"{text},0,1,100"}.get)


@hypothesis.given(value=oddvalues.VALUES)
@SETTINGS
def test_any_answer_of_an_engine_is_read_or_rejected(value: object) -> None:
    """Guards against requests that are lost by an engine's list of kept parts."""
    for document in (value, {"held": value}, {"held": [["", value, value, "m"]]}):
        try:
            data = json.dumps(document).encode()
        except (RecursionError, ValueError):
            continue
        try:
            parts = engines._parse_kept_parts(data)
        except errors.InputError:
            continue
        held = messages.RunHeld("r1", "p", "a", "s1", parts, 0, True, 1.0)
        codec.encode(messages.Frame("edge-1", 1, 1, (held,)))


@pytest.mark.parametrize("text", ["[" * 50_000 + "]" * 50_000, "9" * 5_000])
def test_entry_that_exceeds_the_parser_hides_no_other(text: str) -> None:
    """Guards against a list of servers that one entry makes unreadable."""
    entries = [
        {"metadata": {"name": f"s{number}", "revision": number}, "spec": number}
        for number in range(3)
    ]
    page = json.dumps({"entries": entries, "at": 9})
    page = page.replace('"spec": 1', f'"spec": {text}')
    client = objects.ObjectClient("127.0.0.1:1")
    fields = client._parse(page.encode(), "GET servers")
    found = [client._parse_or_log("servers", each, 0) for each in fields["entries"]]
    assert [each.name for each in found] == ["s0", "s1", "s2"]


@hypothesis.given(request=oddvalues.ANY_TEXT, value=oddvalues.VALUES)
@SETTINGS
def test_odd_request_id_hides_no_other_in_a_list_of_origins(
    request: str, value: object
) -> None:
    """Guards against a caller whose request id makes a home's list unreadable."""
    for odd in (request, value):
        spec = {"services": {"planner": {"v1": ["r1", odd, "r2"]}}}
        found = streamrecords.read_origins(make_stored(spec))
        assert {"r1", "r2"} <= found.keys()
        assert len(found) == 2 or isinstance(odd, str)


@pytest.mark.parametrize("name", ["era", "routes", "versions", "leaving"])
@hypothesis.given(value=oddvalues.VALUES)
@SETTINGS
def test_any_value_in_a_record_of_versions_is_read_or_rejected(
    name: str, value: object
) -> None:
    """Guards against a record of another writer that stops all streams."""
    spec = {"era": 1, "routes": 7, "versions": ["v1"], "leaving": [], name: value}
    try:
        found = streamrecords.read_record(make_stored(spec))
    except errors.InputError as error:
        assert error.key
    else:
        assert found.leaving <= found.versions
