"""Writing a generation: races, lost answers, first and later ones."""

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


def test_generations_follow_each_other(client: store_adapter.StoreClient) -> None:
    first = publishing.read_standing(client)
    assert (first.value, first.generation) == (None, 0)
    publishing.publish(client, first, make_register("g-1"), rules.Rules(), "jana")
    second = publishing.read_standing(client)
    publishing.publish(client, second, make_register("g-2"), rules.Rules(), "petr")
    third = publishing.read_standing(client)
    assert third.value is not None
    assert (third.generation, third.value.author) == (2, "petr")
    assert third.value.register.servers[0].name == "g-2"


def test_loser_of_a_race_is_told_what_won(client: store_adapter.StoreClient) -> None:
    """Two operators read generation 1 and both change it.

    The second to write would undo the first's change without knowing of it; a user
    sees a retired server get work again. The conditional update refuses the second.
    """
    empty = publishing.read_standing(client)
    publishing.publish(client, empty, make_register("g-1"), rules.Rules(), "jana")
    standing = publishing.read_standing(client)
    publishing.publish(client, standing, make_register("g-2"), rules.Rules(), "jana")
    with pytest.raises(publishing.NotPublished, match="found generation 2 by jana"):
        publishing.publish(client, standing, make_register("g-3"), rules.Rules(), "p")
    assert publishing.read_standing(client).generation == 2


@pytest.mark.parametrize("generations", [0, 1])
def test_lost_answer_of_a_write_that_took_effect(
    client: store_adapter.StoreClient, platform: store.Store, generations: int
) -> None:
    """The index is written and the store's answer is lost.

    Told as a failure, the operator would apply again, or believe the change absent
    while the fleet follows it.
    """
    for _ in range(generations):
        standing = publishing.read_standing(client)
        publishing.publish(client, standing, make_register("g-1"), rules.Rules(), "j")
    standing = publishing.read_standing(client)
    lost = LosingClient(client, platform)
    value = publishing.publish(lost, standing, make_register("g-2"), rules.Rules(), "j")
    assert value.generation == generations + 1
    assert publishing.read_standing(client).generation == generations + 1


def test_no_answer_and_no_effect_is_said_to_be_unknown(
    client: store_adapter.StoreClient, platform: store.Store
) -> None:
    """The store goes down between the chunks and the index, and comes back.

    The write may still be on its way, so that neither "done" nor "not done" is known.
    """
    standing = publishing.read_standing(client)
    refusing = LosingClient(client, platform, down=True)
    with pytest.raises(publishing.PublicationUnknown, match="not known; apply again"):
        publishing.publish(refusing, standing, make_register("g"), rules.Rules(), "j")
    assert publishing.read_standing(client).value is None


class LosingClient:
    """A client whose write of the index gets no answer."""

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


def test_changes_are_lines() -> None:
    old = make_standing(make_register("g-1", "g-2"), rules.Rules(weights={"tower": 4}))
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


def make_standing(entries: register.Register, added: rules.Rules):
    return publishing.configuration.Configuration(
        generation=1, register=entries, rules=added
    )


def test_damaged_index_is_named(
    client: store_adapter.StoreClient, platform: store.Store
) -> None:
    client.create(publishing.documents.INDEX_KEY, b"not json")
    with pytest.raises(errors.InputError, match="not an index"):
        publishing.read_standing(client)
