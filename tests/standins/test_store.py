"""Tests of the object API's stand-in over HTTP."""

from __future__ import annotations

import threading
from collections.abc import Iterator

import pytest
import urllib3

from standins import store


@pytest.fixture
def server() -> Iterator[store.Store]:
    standin = store.Store()
    standin.start()
    yield standin
    standin.stop()


def call(
    standin: store.Store, method: str, path: str, body: bytes = b"", **headers: str
) -> urllib3.BaseHTTPResponse:
    sent_headers = {name.replace("_", "-"): value for name, value in headers.items()}
    return urllib3.request(
        method,
        f"http://{standin.address}{path}",
        body=body,
        headers=sent_headers,
        retries=False,
        timeout=5.0,
    )


def test_create_update_delete_are_conditional(server: store.Store) -> None:
    created = call(server, "PUT", "/objects/a/b", b"1", If_None_Match="*")
    assert (created.status, created.headers["ETag"]) == (201, '"1"')
    assert call(server, "PUT", "/objects/a/b", b"2", If_None_Match="*").status == 412
    assert call(server, "PUT", "/objects/a/b", b"2", If_Match='"9"').status == 412
    assert call(server, "PUT", "/objects/a/b", b"2", If_Match='"1"').status == 200
    read = call(server, "GET", "/objects/a/b")
    assert (read.data, read.headers["ETag"]) == (b"2", '"2"')
    listed = call(server, "GET", "/list?prefix=a/").json()
    assert listed == {"keys": [{"key": "a/b", "version": 2}]}
    assert call(server, "DELETE", "/objects/a/b", If_Match='"2"').status == 204
    assert call(server, "GET", "/objects/a/b").status == 404


def test_watch_answers_once_the_version_increases(server: store.Store) -> None:
    answers: list[bytes] = []

    def watch() -> None:
        answers.append(call(server, "GET", "/objects/k?above=0&wait=5").data)

    watcher = threading.Thread(target=watch)
    watcher.start()
    call(server, "PUT", "/objects/k", b"new", If_None_Match="*")
    watcher.join()
    assert answers == [b"new"]
    assert call(server, "GET", "/objects/k?above=1&wait=0").status == 304
    assert server.calls == {"watch": 2, "write": 1}


def test_write_with_a_lost_answer_takes_effect(server: store.Store) -> None:
    server.control(lose_answers=1)
    with pytest.raises(urllib3.exceptions.HTTPError):
        call(server, "PUT", "/objects/k", b"1", If_None_Match="*")
    assert call(server, "GET", "/objects/k").data == b"1"


def test_stale_read_returns_the_previous_value(server: store.Store) -> None:
    call(server, "PUT", "/objects/k", b"1", If_None_Match="*")
    call(server, "PUT", "/objects/k", b"2", If_Match='"1"')
    server.control(stale_reads=1)
    assert call(server, "GET", "/objects/k").data == b"1"
    assert call(server, "GET", "/objects/k").data == b"2"


def test_down_answers_503_and_large_values_413(server: store.Store) -> None:
    large = bytes(store.VALUE_BYTES_MAX + 1)
    assert call(server, "PUT", "/objects/k", large, If_None_Match="*").status == 413
    server.control(down=True)
    assert call(server, "GET", "/objects/k").status == 503


def test_vm_list_is_delayed(server: store.Store) -> None:
    vm = {"name": "vm-1", "address": "127.0.0.1:1", "state": "live"}
    server.set_vms([vm])
    server.set_vms([], lag_seconds=60)
    assert call(server, "GET", "/vms").json() == {"vms": [vm]}
