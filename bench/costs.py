"""Measures processor time and bytes of each kind of control work, at several sizes."""

from __future__ import annotations

import io
import itertools
import random
from collections.abc import Callable

from bench import fits
from celeryspan import (
    configuration,
    dispatch,
    documents,
    events,
    ids,
    metrics,
    register,
    states,
)
from celeryspan.decisions import (
    admission,
    grants,
    membership,
    queueing,
    reporting,
    sharing,
    statements,
)
from celeryspan.wire import codec, messages, proofs

SIZES = (100, 300, 1000)
FLEET_SIZES = (100, 400, 1300)
SERVER_SIZES = (100, 1000, 10_000)
PAIR_SIZES = (50, 150, 400)
ACCOUNTS = 76
"""Backlogged accounts: a tenth of 760."""

SERVERS_PER_HOME = 8
SLOTS_PER_SERVER = 160
"""Streams per server at the target scale: 35,000,000 x 0.046 / 10,000."""

SERVICE = ids.ServiceId("planner-llm")
OWN_ROUTER = ids.RouterId("router-0001")
INCARNATION = ids.Incarnation(1)
FLEET_KEY = "fleet-key-of-the-measurement"
LINK_BYTES = 44
"""Length prefix and TCP and IP headers of a frame that is sent in its own packet."""

DATAGRAM_BYTES = 28
"""Headers of UDP and IP."""


def make_account_id(index: int) -> ids.AccountId:
    """Return an account id of typical length."""
    return ids.AccountId(f"account-{index:03}")


def encode(*batch: messages.Message) -> bytes:
    """Encode messages as one frame of the local router."""
    return codec.encode(messages.Frame(OWN_ROUTER, INCARNATION, 1, batch))


def measure() -> list[fits.Slope]:
    """Return the slopes of time and bytes of all control work."""
    measurements = (
        measure_grants,
        measure_demands,
        measure_counters,
        measure_probes,
        measure_facts,
        measure_configurations,
        measure_logs,
        measure_samples,
    )
    return list(itertools.chain.from_iterable(one() for one in measurements))


def measure_grants() -> list[fits.Slope]:
    """Measure the queue, the home and the four wire messages of one request."""
    times = [fits.time_call(prepare_grants, size) for size in SIZES]
    sizes = [
        float(
            sum(
                len(encode(one)) + LINK_BYTES
                for index in range(size)
                for one in make_grant_messages(index)
            )
        )
        for size in SIZES
    ]
    return [
        fits.fit("grant", "us", SIZES, times),
        fits.fit("grant", "bytes", SIZES, sizes),
    ]


def measure_demands() -> list[fits.Slope]:
    """Measure demand messages that are each sent to one additional home."""
    times = [fits.time_call(prepare_demands, size) for size in SIZES]
    sizes = [
        float(
            sum(
                len(encode(make_grant_messages(index)[0])) + LINK_BYTES
                for index in range(size)
            )
        )
        for size in SIZES
    ]
    return [
        fits.fit("demand alone in a frame", "us", SIZES, times),
        fits.fit("demand alone in a frame", "bytes", SIZES, sizes),
    ]


def prepare_demands(size: int) -> Callable[[], object]:
    """Return a call that applies demand messages to a ledger without free slots."""
    counters = sharing.Counters(OWN_ROUTER, INCARNATION, lambda _: 1.0)
    ledger = grants.Ledger(OWN_ROUTER, INCARNATION, counters)

    def run_batch() -> None:
        for index in range(size):
            demand = encode_and_decode(make_grant_messages(index)[0])
            ledger.update_demand(OWN_ROUTER, demand, index * 0.01)
            ledger.issue(index * 0.01)

    return run_batch


def make_grant_messages(index: int) -> tuple[messages.Message, ...]:
    """Return the messages of one request whose home is another router."""
    account, server = make_account_id(index % ACCOUNTS), ids.ServerId("server-0001")
    grant = ids.GrantId((1 << 32) + index)
    return (
        messages.Demand(SERVICE, account, 1, 0.0, index + 1, 250.0),
        messages.Grant(grant, server, SERVICE, account, 1.0),
        messages.GrantUsed(grant, server, account, 250.0),
        messages.GrantEnded(grant, server, account, 251.0),
    )


def prepare_grants(size: int) -> Callable[[], object]:
    """Return a call that processes requests with queue, ledger and codec."""
    counters = sharing.Counters(OWN_ROUTER, INCARNATION, lambda _: 1.0)
    ledger = grants.Ledger(OWN_ROUTER, INCARNATION, counters)
    for index in range(SERVERS_PER_HOME):
        server = ids.ServerId(f"server-{index:04}")
        ledger.add_server(server, SERVICE, SLOTS_PER_SERVER, 0.0)
    queues = queueing.Queues()
    admission_control = admission.Admission(queues)

    def run_batch() -> None:
        for index in range(size):
            process_request(ledger, queues, admission_control, index)

    return run_batch


def process_request(
    ledger: grants.Ledger,
    queues: queueing.Queues,
    admission_control: admission.Admission,
    index: int,
) -> None:
    """Process one request from its admission to the release of its slot."""
    now = index * 0.01
    account = make_account_id(index % ACCOUNTS)
    request = ids.RequestId(f"request-{index}")
    work = dispatch.Work(request, SERVICE, account, now + 30.0)
    admission_control.admit(work, 1000, 250.0, now, 0.5)
    demand = encode_and_decode(queues.demand(SERVICE, account, index + 1, now))
    ledger.update_demand(OWN_ROUTER, demand, now)
    for issued in ledger.issue(now):
        grant = encode_and_decode(issued.grant)
        entry = queues.pick(SERVICE, grant.account, grant.server, now)
        if entry is None:
            continue
        grant_fields = (grant.grant, grant.server, grant.account)
        ledger.mark_used(
            OWN_ROUTER, encode_and_decode(messages.GrantUsed(*grant_fields, 250.0)), now
        )
        queues.finish(entry.work.request, now + 1.0)
        ledger.end_grant(
            OWN_ROUTER,
            encode_and_decode(messages.GrantEnded(*grant_fields, 251.0)),
            now,
        )


def encode_and_decode(message: messages.Message) -> messages.Message:
    """Encode and decode a message in a frame of its own."""
    return codec.decode(encode(message)).messages[0]


def make_counters(size: int) -> list[messages.Counter]:
    """Return counters of one router, one for each account."""
    return [
        messages.Counter(
            OWN_ROUTER, INCARNATION, SERVICE, make_account_id(index), 1e6 + index
        )
        for index in range(size)
    ]


def measure_counters() -> list[fits.Slope]:
    """Measure finding due counters and sending each in a frame of its own."""
    times = [fits.time_call(prepare_counters, size) for size in SIZES]
    single_sizes = [
        float(sum(len(encode(one)) + LINK_BYTES for one in make_counters(size)))
        for size in SIZES
    ]
    batch_sizes = [float(len(encode(*make_counters(size)))) for size in SIZES]
    return [
        fits.fit("counter alone in a frame", "us", SIZES, times),
        fits.fit("counter alone in a frame", "bytes", SIZES, single_sizes),
        fits.fit("counter in a batch", "bytes", SIZES, batch_sizes),
    ]


def prepare_counters(size: int) -> Callable[[], object]:
    """Return a call that sends counters from one router to another."""
    other = sharing.Counters(ids.RouterId("router-0002"), INCARNATION, lambda _: 1.0)
    rule = reporting.CounterReporter(reporting.ThresholdRule())
    counters = make_counters(size)
    units = {(one.service, one.account): one.units for one in counters}

    def run_batch() -> None:
        rule.find_due(units, None, 1.0)
        for counter in counters:
            other.merge(encode_and_decode(counter))

    return run_batch


def make_member(index: int) -> messages.Member:
    """Return a member that is alive."""
    return messages.Member(
        ids.RouterId(f"router-{index:04}"),
        INCARNATION,
        states.MemberState.ALIVE,
        ids.DataCentreId(f"hala-{index % 40}"),
        ids.Address(f"10.0.{index // 250}.{index % 250}", 8000),
        ids.Address(f"10.0.{index // 250}.{index % 250}", 8001),
        ids.Generation(1),
        0,
    )


def make_membership(members: int) -> membership.Membership:
    """Return the membership view of a router that knows all others."""
    view = membership.Membership(make_member(1), random.Random(1))
    for index in range(2, members + 1):
        member = make_member(index)
        view.handle_statement(member, 0.0, member.router, spread=False)
    return view


def prepare_probes(members: int) -> Callable[[], object]:
    """Return a call that sends, signs, answers and reads 100 probes."""
    view, peer = make_membership(members), make_membership(members)

    def run_batch() -> None:
        for index in range(100):
            probe_once(view, peer, 1.0 + 0.5 * index)

    return run_batch


def probe_once(
    view: membership.Membership, peer: membership.Membership, now: float
) -> int:
    """Send the due probe, answer it, and return the bytes of both directions."""
    size = 0
    for action in view.tick(now):
        if isinstance(action, statements.Send):
            request_messages, count = sign_and_verify(action)
            size += count
            for answer in peer.receive(
                now, OWN_ROUTER, view.own.peer_address, request_messages
            ):
                if isinstance(answer, statements.Send):
                    reply_messages, count = sign_and_verify(answer)
                    size += count
                    router = ids.RouterId("router-0002")
                    view.receive(now, router, action.address, reply_messages)
    return size


def sign_and_verify(
    action: statements.Send,
) -> tuple[tuple[messages.Message, ...], int]:
    """Sign and verify a datagram; return its messages and its size with headers."""
    data = proofs.sign_datagram(FLEET_KEY, encode(*action.batch))
    frame = codec.decode(proofs.verify_datagram([FLEET_KEY], data))
    return frame.messages, len(data) + DATAGRAM_BYTES


def measure_probes() -> list[fits.Slope]:
    """Measure probes by fleet size; a probe costs the same at any size."""
    times = [fits.time_call(prepare_probes, size) / 100 for size in FLEET_SIZES]
    sizes = []
    for members in FLEET_SIZES:
        view, peer = make_membership(members), make_membership(members)
        sizes.append(float(probe_once(view, peer, 1.0)))
    return [
        fits.fit("probe, by members", "us", FLEET_SIZES, times),
        fits.fit("probe, by members", "bytes", FLEET_SIZES, sizes),
    ]


def measure_facts() -> list[fits.Slope]:
    """Measure facts about members that are piggybacked on a probe."""
    counts = (1, 4, 12)

    def prepare(size: int) -> Callable[[], object]:
        facts = [make_member(index) for index in range(size)]
        view = make_membership(100)

        def run_batch() -> None:
            for _ in range(100):
                frame = codec.decode(encode(*facts))
                view.receive(1.0, OWN_ROUTER, facts[0].peer_address, frame.messages)

        return run_batch

    times = [fits.time_call(prepare, size) / 100 for size in counts]
    sizes = [
        float(len(encode(*(make_member(index) for index in range(size)))))
        for size in counts
    ]
    return [
        fits.fit("fact on a probe", "us", counts, times),
        fits.fit("fact on a probe", "bytes", counts, sizes),
    ]


def make_configuration(servers: int) -> configuration.Configuration:
    """Return a configuration of 19 services and 760 accounts."""
    entries = register.Register(
        firm="letter",
        data_centres=(register.DataCentre(name="hala-a", region="bohemia"),),
        vms=(),
        services=tuple(
            register.Service(name=f"model-{index}", kind=states.ServiceKind.MODEL)
            for index in range(19)
        ),
        servers=tuple(
            register.Server(
                name=f"server-{index:05}",
                service=f"model-{index % 19}",
                data_centre="hala-a",
                address=f"10.{index // 60000}.{index // 250 % 240}.{index % 250}:8000",
            )
            for index in range(servers)
        ),
        accounts=tuple(
            register.Account(name=make_account_id(index), key_hashes=(f"{index:064x}",))
            for index in range(760)
        ),
    )
    return configuration.Configuration(generation=1, register=entries)


def measure_configurations() -> list[fits.Slope]:
    """Measure decoding time and size of a new configuration, by servers."""
    bodies = {size: documents.pack(make_configuration(size)) for size in SERVER_SIZES}

    def prepare(size: int) -> Callable[[], object]:
        return lambda: documents.unpack(bodies[size])

    times = [fits.time_call(prepare, size) for size in SERVER_SIZES]
    sizes = [float(len(bodies[size])) for size in SERVER_SIZES]
    return [
        fits.fit("configuration change, by servers", "us", SERVER_SIZES, times),
        fits.fit("configuration change, by servers", "bytes", SERVER_SIZES, sizes),
    ]


def measure_logs() -> list[fits.Slope]:
    """Measure log events that are written to a file."""
    file = io.StringIO()
    writer = events.open_log(file)
    event = next(iter(events.Event))

    def prepare(size: int) -> Callable[[], object]:
        def run_batch() -> None:
            for index in range(size):
                events.log(event, router=OWN_ROUTER, request=f"request-{index}")
            writer.write_queued()

        return run_batch

    times, sizes = [], []
    for size in SIZES:
        times.append(fits.time_call(prepare, size))
        file.seek(0)
        file.truncate()
        prepare(size)()
        sizes.append(float(len(file.getvalue())))
    return [
        fits.fit("log event", "us", SIZES, times),
        fits.fit("log event", "bytes", SIZES, sizes),
    ]


def measure_samples() -> list[fits.Slope]:
    """Measure histogram samples, distributed over service and account pairs."""

    def prepare(size: int) -> Callable[[], object]:
        service = metrics.Metrics()
        names = [make_account_id(index) for index in range(PAIR_SIZES[-1])]
        for name in names:
            service.observe_wait(SERVICE, name, 0.1)

        def run_batch() -> None:
            for index in range(size):
                service.observe_wait(SERVICE, names[index % len(names)], 0.1)

        return run_batch

    times = [fits.time_call(prepare, size) for size in SIZES]
    return [fits.fit("histogram sample", "us", SIZES, times)]
