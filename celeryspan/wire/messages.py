"""Typed messages between routers.

Every message is a frozen value; the codec turns lists of them into frames. A message
of a kind that this version does not know is skipped by the codec, so routers of two
versions can work side by side during a rolling upgrade.
"""

from __future__ import annotations

import msgspec

from celeryspan import ids, states


class Demand(msgspec.Struct, frozen=True):
    """What waits at a router for one service and client account.

    The newest report replaces all older ones of the same router, service and account.

    Attributes
    ----------
    waiting : int
        Requests in the queue that hold no grant; 0 withdraws the demand.
    oldest_age : float
        Waiting time of the oldest of them, in seconds.
    sequence : int
        Grows with each report of this router, so that a late one is recognised.
    cost_estimate : float
        Mean estimated cost of the waiting requests, in cost units.
    """

    service: ids.ServiceId
    account: ids.AccountId
    waiting: int
    oldest_age: float
    sequence: int
    cost_estimate: float


class Grant(msgspec.Struct, frozen=True):
    """One slot of a backend server, given to a client account at a router.

    Attributes
    ----------
    grant : GrantId
        Unique within the home's incarnation.
    valid_seconds : float
        The request must be sent within this time of receipt.
    """

    grant: ids.GrantId
    server: ids.ServerId
    service: ids.ServiceId
    account: ids.AccountId
    valid_seconds: float


class GrantUsed(msgspec.Struct, frozen=True):
    """The router sends a request with this grant now."""

    grant: ids.GrantId
    server: ids.ServerId
    account: ids.AccountId
    cost_estimate: float


class GrantEnded(msgspec.Struct, frozen=True):
    """The slot is free again; ``cost`` is the true cost, 0 if it was not used."""

    grant: ids.GrantId
    server: ids.ServerId
    account: ids.AccountId
    cost: float


class SlotsHeld(msgspec.Struct, frozen=True):
    """All grants in use at a router for one server: lets a new home take over.

    Attributes
    ----------
    grants : tuple of (account, cost estimate)
        One entry per request in progress.
    """

    server: ids.ServerId
    grants: tuple[tuple[ids.AccountId, float], ...]


class Counter(msgspec.Struct, frozen=True):
    """Service given by one router incarnation to an account, in cost units so far.

    Counters only grow, so that merging by maximum makes late, doubled and reordered
    messages harmless.
    """

    router: ids.RouterId
    incarnation: ids.Incarnation
    service: ids.ServiceId
    account: ids.AccountId
    units: float


class Lift(msgspec.Struct, frozen=True):
    """The start that an account was given when it became backlogged.

    Attributes
    ----------
    level : float
        Added to what the account has received, in cost units per weight. It only
        grows and merges by maximum.
    """

    service: ids.ServiceId
    account: ids.AccountId
    level: float


class Pending(msgspec.Struct, frozen=True):
    """What the slots held under the grants of one home are charged.

    Attributes
    ----------
    units : float
        Slots times the charge for one, in cost units; 0 once none is held.
    sequence : int
        Grows with each message of the home's incarnation; the newest wins.
    """

    service: ids.ServiceId
    account: ids.AccountId
    units: float
    sequence: int


class Total(msgspec.Struct, frozen=True):
    """Units that an account received from incarnations that are gone."""

    service: ids.ServiceId
    account: ids.AccountId
    units: float


class Gone(msgspec.Struct, frozen=True):
    """The highest incarnation of a router whose counters are in the totals."""

    router: ids.RouterId
    incarnation: ids.Incarnation


class Snapshot(msgspec.Struct, frozen=True):
    """What a new home must know about service received, from one peer."""

    counters: tuple[Counter, ...]
    lifts: tuple[Lift, ...]
    totals: tuple[Total, ...]
    gone: tuple[Gone, ...]


class Member(msgspec.Struct, frozen=True):
    """What the sender believes about one router; rides on probes.

    Attributes
    ----------
    cores : float
        Processor time of its VM.
    is_busy : bool
        Whether its processor has no time left.
    """

    router: ids.RouterId
    incarnation: ids.Incarnation
    state: states.MemberState
    data_centre: ids.DataCentreId
    caller_address: ids.Address
    peer_address: ids.Address
    generation: ids.Generation
    refutations: int
    cores: float = 1.0
    is_busy: bool = False


class Probe(msgspec.Struct, frozen=True):
    """Ask a member whether it is alive.

    Attributes
    ----------
    digest : int
        Of all that the sender believes about members; 0 if it does not say.
    """

    sequence: int
    digest: int = 0


class ProbeRequest(msgspec.Struct, frozen=True):
    """Ask a member to probe a third one that did not answer."""

    sequence: int
    target: ids.RouterId


class Ack(msgspec.Struct, frozen=True):
    """Answer to a probe, direct or passed on for ``subject``."""

    sequence: int
    subject: ids.RouterId


class ServerFact(msgspec.Struct, frozen=True):
    """A backend server is leaving, or is back; spreads faster than the VM list."""

    server: ids.ServerId
    state: states.ServerState
    version: int


class Vote(msgspec.Struct, frozen=True):
    """What a router tells a home about the answers of a backend server.

    Attributes
    ----------
    is_failing : bool
        Whether the router would give it no work; False takes that back.
    """

    server: ids.ServerId
    is_failing: bool


class ConfigurationOffer(msgspec.Struct, frozen=True):
    """The generation that the sender has in force."""

    generation: ids.Generation


class ConfigurationRequest(msgspec.Struct, frozen=True):
    """Ask a peer for its configuration because its generation is higher."""

    above: ids.Generation


class ConfigurationValue(msgspec.Struct, frozen=True):
    """A whole configuration, as it stands in the object API."""

    generation: ids.Generation
    body: bytes


class Hello(msgspec.Struct, frozen=True):
    """First message of each side of a link.

    Attributes
    ----------
    version : int
        Version of the protocol that the sender speaks.
    nonce : bytes
        Random, never used before; the other side's proof covers it.
    """

    version: int
    nonce: bytes


class Proof(msgspec.Struct, frozen=True):
    """Keyed hash over both nonces: the sender knows a fleet key."""

    digest: bytes


class Heartbeat(msgspec.Struct, frozen=True):
    """Nothing to say; the link works."""


class MembersRequest(msgspec.Struct, frozen=True):
    """Ask for a :class:`Member` of each router that the receiver knows."""


class Pressure(msgspec.Struct, frozen=True):
    """What one router sees of one service, for the placement of model servers.

    Attributes
    ----------
    waiting : int
        Requests that wait at the sender.
    busy, slots : int
        Slots in use and in all of the servers whose home the sender is.
    """

    service: ids.ServiceId
    waiting: int
    busy: int
    slots: int


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that requests may share.

    Attributes
    ----------
    part : str
        Names the part; equal names mean equal text after equal parts.
    """

    part: str
    tokens: int


class SlotRequest(msgspec.Struct, frozen=True):
    """Ask the home of a pool for a place of one request at a backend server.

    Attributes
    ----------
    prompt_tokens, output_tokens : int
        Length of the prompt and estimated length of the answer; 0 for plain services.
    waited : float
        Since the caller's request was read, in seconds.
    objective, timeout : float
        Latency objective, and time in which the request must end, both from the
        moment at which it was read, in seconds.
    gap_max : float
        Longest pause between events, in seconds.
    stride : int
        Tokens in one event.
    excluded : tuple of ServerId
        Servers that have failed the request.
    isolation : int
        Fingerprint of a request under which servers have crashed: it runs once at a
        time, and at no server beside another such request. 0 for all others.
    """

    request: ids.RequestId
    pool: ids.PoolId
    account: ids.AccountId
    data_centre: ids.DataCentreId
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    waited: float
    objective: float
    timeout: float
    gap_max: float
    stride: int
    excluded: tuple[ids.ServerId, ...]
    isolation: int = 0


class SlotCancel(msgspec.Struct, frozen=True):
    """The request needs no place any more."""

    request: ids.RequestId
    pool: ids.PoolId


class SlotOffer(msgspec.Struct, frozen=True):
    """A place at a backend server; the router uses it or gives it back.

    Attributes
    ----------
    pressure : float
        How long a request that comes now would wait in this pool, in seconds.
    source : ServerId
        A server that keeps parts of the prompt, to be copied; empty for none.
    """

    request: ids.RequestId
    pool: ids.PoolId
    server: ids.ServerId
    pressure: float
    source: ids.ServerId


class SlotRefusal(msgspec.Struct, frozen=True):
    """There is no place for the request in time.

    Attributes
    ----------
    retry_after : float
        Seconds after which a place is likely.
    reason : str
        Stable machine-readable name.
    pressure : float
        As in an offer.
    """

    request: ids.RequestId
    pool: ids.PoolId
    retry_after: float
    reason: str
    pressure: float


class RunHeld(msgspec.Struct, frozen=True):
    """A request runs at a backend server; tells a new home of the pool.

    Attributes
    ----------
    is_begun : bool
        Whether its first event has come.
    isolation : int
        As in its request.
    """

    request: ids.RequestId
    pool: ids.PoolId
    account: ids.AccountId
    server: ids.ServerId
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    is_begun: bool
    left: float
    isolation: int = 0


class RunBegun(msgspec.Struct, frozen=True):
    """The first event of a run has come."""

    request: ids.RequestId
    pool: ids.PoolId
    server: ids.ServerId


class RunMove(msgspec.Struct, frozen=True):
    """A run is to go on at another backend server, where a place is held for it."""

    request: ids.RequestId
    pool: ids.PoolId
    server: ids.ServerId
    target: ids.ServerId


class RunMoved(msgspec.Struct, frozen=True):
    """A run has moved, or stays where it was.

    Attributes
    ----------
    is_moved : bool
        Whether the place at the server is free; else that at the target is.
    """

    request: ids.RequestId
    pool: ids.PoolId
    server: ids.ServerId
    target: ids.ServerId
    is_moved: bool


class RunEnded(msgspec.Struct, frozen=True):
    """A place is free again.

    Attributes
    ----------
    ending : RunEnding
        What it tells of the server.
    pause : float
        Longest time between two events of the run's stream, in seconds; 0 if there was
        no stream, or if it came from several servers.
    """

    request: ids.RequestId
    pool: ids.PoolId
    server: ids.ServerId
    ending: states.RunEnding
    pause: float = 0.0


class QueueAlive(msgspec.Struct, frozen=True):
    """The home of a pool still holds requests of the receiver.

    Attributes
    ----------
    pressure : float
        As in an offer.
    """

    pool: ids.PoolId
    pressure: float


class AccountUnits(msgspec.Struct, frozen=True):
    """Service that an account has begun to get lately, in tokens."""

    account: ids.AccountId
    units: float


class PoolShares(msgspec.Struct, frozen=True):
    """What accounts have got in some shards of a service, told to another shard.

    Attributes
    ----------
    pool : PoolId
        The shard that is told.
    dimension : int
        The shards differ in this bit of their numbers; the units are those of the
        sender and of the shards that it hears of in lower dimensions.
    """

    pool: ids.PoolId
    dimension: int
    units: tuple[AccountUnits, ...]


class Strike(msgspec.Struct, frozen=True):
    """A server crashed while a suspect ran there.

    Attributes
    ----------
    crash : str
        Names the incarnation of the server.
    at_ms : int
        When the crash was noticed first, in Unix milliseconds.
    trial : int
        One more than the crashes in a row that were known when the run was sent.
    run_ms : int
        From the beginning of the run to the crash, in milliseconds.
    is_prompt : bool
        Whether the crash followed soon after the beginning.
    """

    crash: str
    at_ms: int
    trial: int
    run_ms: int
    is_prompt: bool


class Suspect(msgspec.Struct, frozen=True):
    """What is known of one request under which servers have crashed.

    Two of these about one request are merged; the order does not matter, nor whether
    one comes twice.

    Attributes
    ----------
    scope, whole : int
        Its fingerprint.
    acquitted_ms : int
        Crashes up to then do not count against it, in Unix milliseconds.
    """

    scope: int
    whole: int
    acquitted_ms: int
    strikes: tuple[Strike, ...]


class SuspectsDigest(msgspec.Struct, frozen=True):
    """A hash of all suspects that the sender knows.

    Attributes
    ----------
    is_answer : bool
        Whether it answers another one, so that no further one is due.
    """

    digest: int
    is_answer: bool


class SuspectsStored(msgspec.Struct, frozen=True):
    """The suspects with this digest are in the store, at this revision of it."""

    digest: int
    revision: int


class RelayRequest(msgspec.Struct, frozen=True):
    """Asks a router to pass on objects of one kind for a while.

    Attributes
    ----------
    above : int
        Revision that the sender has; 0 for none.
    """

    kind: str
    above: int


class RelayBatch(msgspec.Struct, frozen=True):
    """Objects of one kind that changed between two revisions, or only a word of life.

    Attributes
    ----------
    above, at : int
        The changes lead from the first to the second.
    is_whole : bool
        The changes are all objects there are.
    age : float
        How long ago the sender had an answer of the store, in seconds.
    is_away : bool
        Whether the store does not answer the sender.
    body : bytes
        The changes; empty if there are none.
    """

    kind: str
    above: int
    at: int
    is_whole: bool
    age: float
    is_away: bool
    body: bytes


Message = (
    Demand
    | Grant
    | GrantUsed
    | GrantEnded
    | SlotsHeld
    | Counter
    | Lift
    | Pending
    | Snapshot
    | Member
    | Probe
    | ProbeRequest
    | Ack
    | ServerFact
    | Vote
    | ConfigurationOffer
    | ConfigurationRequest
    | ConfigurationValue
    | Hello
    | Proof
    | Heartbeat
    | MembersRequest
    | Pressure
    | SlotRequest
    | SlotCancel
    | SlotOffer
    | SlotRefusal
    | RunHeld
    | RunBegun
    | RunEnded
    | RunMove
    | RunMoved
    | QueueAlive
    | PoolShares
    | RelayRequest
    | RelayBatch
    | Suspect
    | SuspectsDigest
    | SuspectsStored
)


class Frame(msgspec.Struct, frozen=True):
    """Messages of one sender to one receiver.

    Attributes
    ----------
    sequence : int
        Grows with each frame of one incarnation to one receiver.
    """

    sender: ids.RouterId
    incarnation: ids.Incarnation
    sequence: int
    messages: tuple[Message, ...]
