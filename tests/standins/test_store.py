"""The object API's stand-in, over its protocol."""

from __future__ import annotations

import threading
from collections.abc import Iterator

import pytest
import urllib3

from standins import store


@pytest.fixture
def serving() -> Iterator[store.Store]:
    standin = store.Store()
    standin.start()
    yield standin
    standin.stop()


def call(
    standin: store.Store, method: str, path: str, body: bytes = b"", **headers: str
) -> urllib3.BaseHTTPResponse:
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return urllib3.request(
        method,
        f"http://{standin.address}{path}",
        body=body,
        headers=named,
        retries=False,
        timeout=5.0,
    )


def test_create_update_delete_are_conditional(serving: store.Store) -> None:
    created = call(serving, "PUT", "/objects/a/b", b"1", If_None_Match="*")
    assert (created.status, created.headers["ETag"]) == (201, '"1"')
    assert call(serving, "PUT", "/objects/a/b", b"2", If_None_Match="*").status == 412
    assert call(serving, "PUT", "/objects/a/b", b"2", If_Match='"9"').status == 412
    assert call(serving, "PUT", "/objects/a/b", b"2", If_Match='"1"').status == 200
    read = call(serving, "GET", "/objects/a/b")
    assert (read.data, read.headers["ETag"]) == (b"2", '"2"')
    listed = call(serving, "GET", "/list?prefix=a/").json()
    assert listed == {"keys": [{"key": "a/b", "version": 2}]}
    assert call(serving, "DELETE", "/objects/a/b", If_Match='"2"').status == 204
    assert call(serving, "GET", "/objects/a/b").status == 404


def test_watch_answers_once_the_version_is_above(serving: store.Store) -> None:
    answers: list[bytes] = []

    def watch() -> None:
        answers.append(call(serving, "GET", "/objects/k?above=0&wait=5").data)

    waiting = threading.Thread(target=watch)
    waiting.start()
    call(serving, "PUT", "/objects/k", b"new", If_None_Match="*")
    waiting.join()
    assert answers == [b"new"]
    assert call(serving, "GET", "/objects/k?above=1&wait=0").status == 304
    assert serving.calls == {"watch": 2, "write": 1}


def test_lost_answer_of_a_write_that_took_effect(serving: store.Store) -> None:
    serving.control(lose_answers=1)
    with pytest.raises(urllib3.exceptions.HTTPError):
        call(serving, "PUT", "/objects/k", b"1", If_None_Match="*")
    assert call(serving, "GET", "/objects/k").data == b"1"


def test_stale_read_shows_the_previous_value(serving: store.Store) -> None:
    call(serving, "PUT", "/objects/k", b"1", If_None_Match="*")
    call(serving, "PUT", "/objects/k", b"2", If_Match='"1"')
    serving.control(stale_reads=1)
    assert call(serving, "GET", "/objects/k").data == b"1"
    assert call(serving, "GET", "/objects/k").data == b"2"


def test_down_answers_503_and_large_values_413(serving: store.Store) -> None:
    large = bytes(store.VALUE_BYTES_MAX + 1)
    assert call(serving, "PUT", "/objects/k", large, If_None_Match="*").status == 413
    serving.control(down=True)
    assert call(serving, "GET", "/objects/k").status == 503


def test_vm_list_lags(serving: store.Store) -> None:
    vm = {"name": "vm-1", "address": "127.0.0.1:1", "state": "live"}
    serving.set_vms([vm])
    serving.set_vms([], lag_seconds=60)
    assert call(serving, "GET", "/vms").json() == {"vms": [vm]}
