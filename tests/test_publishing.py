"""Publishing a generation: first and later ones, races and lost answers."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from celeryspan import changes, errors, publishing, register, rules
from celeryspan.adapters import store as store_adapter
from standins import store


def make_register(*servers: str, slots: int = 8) -> register.Register:
    return register.Register(
        firm="vrbicky",
        data_centres=(register.DataCentre(name="hala-a", region="bohemia"),),
        vms=(),
        services=(),
        servers=tuple(
            register.Server(
                name=name,
                service="gate-desk",
                data_centre="hala-a",
                address="127.0.0.1:1",
                slots=slots,
            )
            for name in servers
        ),
        accounts=(),
    )


@pytest.fixture
def platform() -> Iterator[store.Store]:
    standin = store.Store()
    standin.start()
    yield standin
    standin.stop()


@pytest.fixture
def client(
    platform: store.Store, monkeypatch: pytest.MonkeyPatch
) -> store_adapter.StoreClient:
    monkeypatch.setattr(publishing, "READ_BACK_SECONDS", 0.001)
    return store_adapter.StoreClient(str(platform.address), read_timeout=5.0)


def test_generations_are_consecutive(client: store_adapter.StoreClient) -> None:
    first = publishing.read_stored(client)
    assert (first.value, first.generation) == (None, 0)
    publishing.publish(client, first, make_register("g-1"), rules.Rules(), "jana")
    second = publishing.read_stored(client)
    publishing.publish(client, second, make_register("g-2"), rules.Rules(), "petr")
    third = publishing.read_stored(client)
    assert third.value is not None
    assert (third.generation, third.value.author) == (2, "petr")
    assert third.value.register.servers[0].name == "g-2"


def test_loser_of_a_race_learns_who_won(client: store_adapter.StoreClient) -> None:
    """Two operators read the same generation and both change it.

    Without the conditional update, the second write would undo the first unnoticed, and
    a retired server would receive requests again.
    """
    empty = publishing.read_stored(client)
    publishing.publish(client, empty, make_register("g-1"), rules.Rules(), "jana")
    stored = publishing.read_stored(client)
    publishing.publish(client, stored, make_register("g-2"), rules.Rules(), "jana")
    with pytest.raises(publishing.NotPublished, match="found generation 2 by jana"):
        publishing.publish(client, stored, make_register("g-3"), rules.Rules(), "p")
    assert publishing.read_stored(client).generation == 2


@pytest.mark.parametrize("generations", [0, 1])
def test_lost_answer_of_a_write_that_took_effect(
    client: store_adapter.StoreClient, platform: store.Store, generations: int
) -> None:
    """The index is written but the store's answer is lost.

    Reported as a failure, the operator would apply again, or assume that the change is
    not in force although the fleet follows it.
    """
    for _ in range(generations):
        stored = publishing.read_stored(client)
        publishing.publish(client, stored, make_register("g-1"), rules.Rules(), "j")
    stored = publishing.read_stored(client)
    lost = LosingClient(client, platform)
    value = publishing.publish(lost, stored, make_register("g-2"), rules.Rules(), "j")
    assert value.generation == generations + 1
    assert publishing.read_stored(client).generation == generations + 1


def test_write_without_answer_or_effect_is_reported_as_unknown(
    client: store_adapter.StoreClient, platform: store.Store
) -> None:
    """The store is down while the index is written, and recovers.

    The write may still be in flight, so neither success nor failure can be reported.
    """
    stored = publishing.read_stored(client)
    refusing = LosingClient(client, platform, down=True)
    with pytest.raises(publishing.PublicationUnknown, match="not known; apply again"):
        publishing.publish(refusing, stored, make_register("g"), rules.Rules(), "j")
    assert publishing.read_stored(client).value is None


class LosingClient:
    """A client that gets no answer to its write of the index."""

    def __init__(
        self,
        client: store_adapter.StoreClient,
        platform: store.Store,
        *,
        down: bool = False,
    ) -> None:
        self.address = client.address
        self.get = client.get
        self._client = client
        self._platform = platform
        self._down = down

    def create(self, key: str, value: bytes) -> int:
        return self._lose(key, lambda: self._client.create(key, value))

    def update(self, key: str, value: bytes, version: int) -> int:
        return self._lose(key, lambda: self._client.update(key, value, version))

    def _lose(self, key: str, call) -> int:
        if "index" not in key:
            return call()
        self._platform.control(down=self._down, lose_answers=int(not self._down))
        try:
            return call()
        finally:
            self._platform.control(down=False)


def test_each_change_is_one_line() -> None:
    old = make_configuration(
        make_register("g-1", "g-2"), rules.Rules(weights={"tower": 4})
    )
    added = rules.Rules(weights={"buses": 2}, retirements=("g-3",))
    new = make_register("g-2", "g-3", slots=4)
    assert changes.describe_changes(old, new, added) == [
        "- server g-1",
        "+ server g-3",
        "~ server g-2: slots: 8 -> 4",
        "~ weight buses: 1 -> 2",
        "~ weight tower: 4 -> 1",
        "+ retirement g-3",
    ]


def make_configuration(entries: register.Register, added: rules.Rules):
    return publishing.configuration.Configuration(
        generation=1, register=entries, rules=added
    )


def test_damaged_index_is_rejected(
    client: store_adapter.StoreClient, platform: store.Store
) -> None:
    client.create(publishing.documents.INDEX_KEY, b"not json")
    with pytest.raises(errors.InputError, match="not an index"):
        publishing.read_stored(client)
