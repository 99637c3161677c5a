"""Snapshots of complete sessions of a caller and an operator."""

from __future__ import annotations

import json
import pathlib
import re
from collections.abc import Iterator

import pytest
import syrupy
import urllib3
import yaml

from celeryspan.daemons import command
from standins import fleet

SHOWN_HEADERS = ("Celeryspan-Outcome", "Content-Type", "Retry-After", "Allow")

PLAN = fleet.FleetOptions(
    accounts=("tower", "buses"),
    routers=1,
    engines=1,
    gates=1,
    token_seconds=0.0,
    answer_tokens=0,
    work_seconds=0.0,
)

CHAT = {
    "model": fleet.MODEL,
    "messages": [{"role": "user", "content": "Which stand for OK 123?"}],
    "max_tokens": 3,
}

VARYING_VALUES = (
    (r"127\.0\.0\.1:\d+", "ADDRESS"),
    (r'"created": ?\d+', '"created": TIME'),
    (r'"tickets": ?\[[^\]]*\]', '"tickets": [TICKETS]'),
    (r'"ticket": ?"[^"]*"', '"ticket": TICKET'),
    (r"after \d+\.\d s", "after SECONDS s"),
)


class Session:
    """Records requests and answers, with placeholders for values that vary."""

    def __init__(self, address: object) -> None:
        self.address = address
        self.text = ""
        self._requests: list[str] = []

    def call(
        self,
        title: str,
        method: str,
        path: str,
        *,
        key: str = "tower",
        body: bytes | dict | None = None,
        **headers: str,
    ) -> None:
        """Send a request and record it with its answer."""
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        if key:
            sent["Authorization"] = f"Bearer {key}"
        data = json.dumps(body).encode() if isinstance(body, dict) else body
        answer = urllib3.request(
            method,
            f"http://{self.address}{path}",
            headers=sent,
            body=data,
            retries=False,
            timeout=20,
        )
        self._record_request(answer.headers.get("Celeryspan-Request-Id", ""))
        self.text += f"# {title}\n> {method} {path}\n"
        self.text += "".join(f"> {name}: {sent[name]}\n" for name in sorted(sent))
        shown = data.decode() if data and len(data) < 1000 else f"{len(data or b'')} B"
        self.text += f"> {shown}\n" if data else ""
        self.text += f"< {answer.status}\n"
        for name in SHOWN_HEADERS:
            if name in answer.headers:
                self.text += f"< {name}: {answer.headers[name]}\n"
        lines = answer.data.decode().splitlines()
        self.text += "".join(f"< {self.normalise(line)}\n" for line in lines if line)
        self.text += "\n"

    def normalise(self, text: str) -> str:
        """Replace values that vary between runs by placeholders."""
        for place, request in enumerate(self._requests, start=1):
            text = text.replace(request, f"REQUEST-{place}")
        for pattern, name in VARYING_VALUES:
            text = re.sub(pattern, name, text)
        return text

    def _record_request(self, request: str) -> None:
        if request and request not in self._requests:
            self._requests.append(request)


@pytest.fixture
def serving() -> Iterator[fleet.Fleet]:
    small = fleet.Fleet(PLAN)
    small.start()
    yield small
    small.stop()


def test_session_of_a_caller(
    serving: fleet.Fleet, snapshot: syrupy.SnapshotAssertion
) -> None:
    session = Session(serving.addresses[0])
    call = session.call
    chat, gate = "/v1/chat/completions", "/v1/services/gate-desk"
    call("Which routers to use", "GET", "/v1/addresses", key="")
    call("A whole answer of the model", "POST", chat, body=CHAT)
    call("The same as a stream", "POST", chat, body=CHAT | {"stream": True})
    call("A tow clearance", "POST", f"{gate}/clearances/7", body={"tug": 3})
    call("A reading call", "GET", f"{gate}/status/stand-12")
    for title in ("A call with a key", "The same call again"):
        call(title, "POST", f"{gate}/clearances/8", body={}, Idempotency_Key="c-8")
    call("A wrong key", "POST", chat, key="nobody", body=CHAT)
    call("No key", "POST", chat, key="", body=CHAT)
    call("An unknown model", "POST", chat, body=CHAT | {"model": "oracle"})
    call("An unknown service", "GET", "/v1/services/catering/menu")
    call("A body that is not JSON", "POST", chat, body=b"{")
    call("A chat without messages", "POST", chat, body={"model": fleet.MODEL})
    call("A body above the limit", "POST", chat, body=bytes(5_000_000))
    call("No such path", "GET", "/v2/addresses")
    call("A method that is not offered", "DELETE", chat)
    assert session.text == snapshot


def test_session_of_an_operator(
    serving: fleet.Fleet,
    snapshot: syrupy.SnapshotAssertion,
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setenv("CELERYSPAN_OPERATOR_KEY", fleet.OPERATOR_KEY)
    monkeypatch.setenv("COLUMNS", "100")
    session = Session(serving.addresses[0])
    register_path, rules_path = tmp_path / "register.yaml", tmp_path / "rules.yaml"
    entries = serving.make_configuration().register.model_dump(mode="json")
    register_path.write_text(yaml.safe_dump(entries, sort_keys=False))
    files = [str(register_path), str(rules_path)]
    store = ["--store", str(serving.store.address), "--author", "jana"]
    router = ["--router", str(serving.addresses[0])]

    def run_command(*arguments: str) -> None:
        code = command.main(list(arguments))
        printed = capsys.readouterr()
        shown = f"{' '.join(arguments)}\n{printed.out}{printed.err}"
        shown = session.normalise(shown).replace(f"{tmp_path}/", "")
        session.text += f"$ celeryspan {shown}exit {int(code)}\n\n"

    rules_path.write_text("weights: {tower: 0}\nretirements: [gate-9]\n")
    run_command("check", *files)
    rules_path.write_text("weights: {tower: 4}\n")
    run_command("check", *files)
    run_command("apply", *files, *store, "--dry_run")
    run_command("addresses", *router)
    run_command("apply", *files, *store, "--wait", "10", *router)
    run_command("apply", *files, *store)
    run_command("status", *router)
    monkeypatch.setenv("CELERYSPAN_OPERATOR_KEY", "wrong")
    run_command("status", *router)
    monkeypatch.delenv("CELERYSPAN_OPERATOR_KEY")
    run_command("status", *router)
    run_command("aply", *files)
    monkeypatch.setenv("CELERYSPAN_OPERATOR_KEY", fleet.OPERATOR_KEY)
    run_command("drain", str(serving.addresses[0]))
    assert session.text == snapshot
