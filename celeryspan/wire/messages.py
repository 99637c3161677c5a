"""Message types exchanged between routers.

Messages are immutable; the codec encodes lists of them into frames. It skips messages
of types that this version does not know, so routers of two versions interoperate during
a rolling upgrade.
"""

from __future__ import annotations

import msgspec

from celeryspan import ids, states


class Demand(msgspec.Struct, frozen=True):
    """Requests waiting at a router for one service and client account.

    The newest report replaces older ones of the same router, service and account.

    Attributes
    ----------
    waiting : int
        Number of queued requests without a grant; 0 withdraws the demand.
    oldest_age : float
        Waiting time of the oldest of these requests, in seconds.
    sequence : int
        Increases with each report of this router, so that late ones can be dropped.
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
    """A slot of a backend server, granted to a client account at a router.

    Attributes
    ----------
    grant : GrantId
        Unique within the incarnation of the home router.
    valid_seconds : float
        The request must be sent within this time after receipt of the grant.
    """

    grant: ids.GrantId
    server: ids.ServerId
    service: ids.ServiceId
    account: ids.AccountId
    valid_seconds: float


class GrantUsed(msgspec.Struct, frozen=True):
    """The router is sending a request under this grant."""

    grant: ids.GrantId
    server: ids.ServerId
    account: ids.AccountId
    cost_estimate: float


class GrantEnded(msgspec.Struct, frozen=True):
    """The slot is free again; ``cost`` is the actual cost, 0 if it was not used."""

    grant: ids.GrantId
    server: ids.ServerId
    account: ids.AccountId
    cost: float


class SlotsHeld(msgspec.Struct, frozen=True):
    """All grants in use at a router for one server, needed by a new home.

    Attributes
    ----------
    grants : tuple of (account, cost estimate)
        One entry for each request in progress.
    """

    server: ids.ServerId
    grants: tuple[tuple[ids.AccountId, float], ...]


class Counter(msgspec.Struct, frozen=True):
    """Service that an account has received through one router incarnation.

    Counts cost units and only increases. Counters merge by maximum, so late, duplicate
    or reordered messages have no effect.
    """

    router: ids.RouterId
    incarnation: ids.Incarnation
    service: ids.ServiceId
    account: ids.AccountId
    units: float


class Lift(msgspec.Struct, frozen=True):
    """The initial level of an account, set when it became backlogged.

    Attributes
    ----------
    level : float
        Added to the service that the account has received, in cost units per weight.
        It only increases and merges by maximum.
    """

    service: ids.ServiceId
    account: ids.AccountId
    level: float


class Pending(msgspec.Struct, frozen=True):
    """The charge for the slots held under the grants of one home.

    Attributes
    ----------
    units : float
        Number of slots times the charge per slot, in cost units; 0 if none is held.
    sequence : int
        Increases with each message of the home's incarnation; the newest replaces
        older ones.
    """

    service: ids.ServiceId
    account: ids.AccountId
    units: float
    sequence: int


class Total(msgspec.Struct, frozen=True):
    """Cost units that an account received through incarnations that are gone."""

    service: ids.ServiceId
    account: ids.AccountId
    units: float


class Gone(msgspec.Struct, frozen=True):
    """The highest incarnation of a router whose counters are included in the totals."""

    router: ids.RouterId
    incarnation: ids.Incarnation


class Snapshot(msgspec.Struct, frozen=True):
    """Service received, as known to one peer; sent to a new home."""

    counters: tuple[Counter, ...]
    lifts: tuple[Lift, ...]
    totals: tuple[Total, ...]
    gone: tuple[Gone, ...]


class Member(msgspec.Struct, frozen=True):
    """The state of a router as seen by the sender; piggybacked on probes.

    Attributes
    ----------
    cores : float
        Processor capacity of its VM, in cores.
    is_busy : bool
        Whether its processor is saturated.
    era, version : int
        Era of the platform's store in which the configuration in force was written, and
        its version there; 0 if the store has no eras.
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
    era: ids.Era = ids.NO_ERA
    version: int = 0


class Probe(msgspec.Struct, frozen=True):
    """Asks a member whether it is alive.

    Attributes
    ----------
    digest : int
        Hash of the sender's view of all members; 0 if it sends none.
    """

    sequence: int
    digest: int = 0


class ProbeRequest(msgspec.Struct, frozen=True):
    """Asks a member to probe another one that did not respond."""

    sequence: int
    target: ids.RouterId


class Ack(msgspec.Struct, frozen=True):
    """Response to a probe, direct or relayed for ``subject``."""

    sequence: int
    subject: ids.RouterId


class ServerFact(msgspec.Struct, frozen=True):
    """A backend server is leaving or has returned; faster than the VM list."""

    server: ids.ServerId
    state: states.ServerState
    version: int


class Vote(msgspec.Struct, frozen=True):
    """A router's verdict on a backend server, sent to the server's home.

    Attributes
    ----------
    is_failing : bool
        Whether the router would stop using the server; False withdraws the vote.
    """

    server: ids.ServerId
    is_failing: bool


class ConfigurationOffer(msgspec.Struct, frozen=True):
    """The generation of the sender's active configuration."""

    generation: ids.Generation


class ConfigurationRequest(msgspec.Struct, frozen=True):
    """Asks a peer for its configuration, which has a higher generation.

    Attributes
    ----------
    above : Generation
        Generation in force at the sender; 0 for none.
    era, version : int
        Era of the platform's store in which it was written, and its version there; 0
        if the store has no eras.
    """

    above: ids.Generation
    era: ids.Era = ids.NO_ERA
    version: int = 0


class ConfigurationValue(msgspec.Struct, frozen=True):
    """A complete configuration, as stored in the object API.

    Attributes
    ----------
    era : Era
        Era of the platform's store in which it was written.
    """

    generation: ids.Generation
    body: bytes
    era: ids.Era = ids.NO_ERA


class Hello(msgspec.Struct, frozen=True):
    """First message of each side of a link.

    Attributes
    ----------
    version : int
        Protocol version of the sender.
    nonce : bytes
        Random and never reused; covered by the proof of the other side.
    """

    version: int
    nonce: bytes


class Proof(msgspec.Struct, frozen=True):
    """HMAC over both nonces; proves that the sender knows a fleet key."""

    digest: bytes


class Heartbeat(msgspec.Struct, frozen=True):
    """Keeps an idle link open."""


class MembersRequest(msgspec.Struct, frozen=True):
    """Asks for a :class:`Member` of each router that the receiver knows."""


class Pressure(msgspec.Struct, frozen=True):
    """Load of one service as seen by one router, for the placement of model servers.

    Attributes
    ----------
    waiting : int
        Number of requests waiting at the sender.
    busy, slots : int
        Slots in use, and total slots, of the servers whose home is the sender.
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
        Identifies the part; equal names after equal parts mean equal text.
    """

    part: str
    tokens: int


class SlotRequest(msgspec.Struct, frozen=True):
    """Asks the home of a pool for a slot for one request at a backend server.

    Attributes
    ----------
    prompt_tokens, output_tokens : int
        Prompt length and estimated output length; 0 for plain services.
    waited : float
        Time since the caller's request was received, in seconds.
    objective, timeout : float
        Latency objective and time limit of the request, in seconds from its receipt.
    gap_max : float
        Longest allowed gap between events, in seconds.
    stride : int
        Tokens per event.
    excluded : tuple of ServerId
        Servers at which the request has failed.
    isolation : int
        Fingerprint of a request during which servers have crashed, otherwise 0. Such a
        request runs at most once at a time, and never beside another one of its kind
        at the same server.
    version : SoftwareVersion
        Version of the server that began the stream which the request continues; empty
        if any server will do.
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
    version: ids.SoftwareVersion = ids.SoftwareVersion("")


class SlotCancel(msgspec.Struct, frozen=True):
    """The request no longer needs a slot."""

    request: ids.RequestId
    pool: ids.PoolId


class SlotOffer(msgspec.Struct, frozen=True):
    """A slot at a backend server; the router uses or releases it.

    Attributes
    ----------
    pressure : float
        Expected wait of a new request in this pool, in seconds.
    source : ServerId
        A server with prompt parts in its cache, to be copied; empty for none.
    """

    request: ids.RequestId
    pool: ids.PoolId
    server: ids.ServerId
    pressure: float
    source: ids.ServerId


class SlotRefusal(msgspec.Struct, frozen=True):
    """No slot becomes available for the request in time.

    Attributes
    ----------
    retry_after : float
        Time after which a slot is likely to be available, in seconds.
    reason : str
        Stable machine-readable reason code.
    pressure : float
        As in :class:`SlotOffer`.
    """

    request: ids.RequestId
    pool: ids.PoolId
    retry_after: float
    reason: str
    pressure: float


class RunHeld(msgspec.Struct, frozen=True):
    """A request is running at a backend server; sent to a new home of the pool.

    Attributes
    ----------
    is_begun : bool
        Whether its first event has arrived.
    isolation : int
        As in :class:`SlotRequest`.
    origin, version
        As in :class:`RunBegun`.
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
    origin: ids.RequestId = ids.RequestId("")
    version: ids.SoftwareVersion = ids.SoftwareVersion("")


class LoadReport(msgspec.Struct, frozen=True):
    """The load that a backend server reported in an answer.

    Attributes
    ----------
    running, waiting, slots : int
        Requests that run and wait at the server, and how many it runs concurrently.
    pace : float
        Service time on its VM relative to the usual; never 0.
    age : float
        Time since the answer arrived, in seconds.
    """

    running: int
    waiting: int
    slots: int
    pace: float
    age: float = 0.0


class RunBegun(msgspec.Struct, frozen=True):
    """The first event of a run has arrived.

    Attributes
    ----------
    origin : RequestId
        The request that brought the first event of the stream; empty if the stream
        can't be taken up.
    version : SoftwareVersion
        Version of the server that began the stream.
    load : LoadReport or None
        The load that the server reported.
    """

    request: ids.RequestId
    pool: ids.PoolId
    server: ids.ServerId
    origin: ids.RequestId = ids.RequestId("")
    version: ids.SoftwareVersion = ids.SoftwareVersion("")
    load: LoadReport | None = None


class RunMove(msgspec.Struct, frozen=True):
    """Moves a run to another backend server, where a slot is reserved for it."""

    request: ids.RequestId
    pool: ids.PoolId
    server: ids.ServerId
    target: ids.ServerId


class RunMoved(msgspec.Struct, frozen=True):
    """The result of a :class:`RunMove`.

    Attributes
    ----------
    is_moved : bool
        Whether the run has moved, which frees the slot at the server; otherwise the
        slot at the target is free.
    """

    request: ids.RequestId
    pool: ids.PoolId
    server: ids.ServerId
    target: ids.ServerId
    is_moved: bool


class RunEnded(msgspec.Struct, frozen=True):
    """A run has ended and its slot is free.

    Attributes
    ----------
    ending : RunEnding
        How it ended, as evidence about the server.
    pause : float
        Longest gap between two events of the stream, in seconds; 0 if there was no
        stream or several servers produced it.
    load : LoadReport or None
        The load that the server reported, if :class:`RunBegun` didn't carry it.
    """

    request: ids.RequestId
    pool: ids.PoolId
    server: ids.ServerId
    ending: states.RunEnding
    pause: float = 0.0
    load: LoadReport | None = None


class QueueAlive(msgspec.Struct, frozen=True):
    """The home of a pool still has requests of the receiver in its queue.

    Attributes
    ----------
    pressure : float
        As in :class:`SlotOffer`.
    """

    pool: ids.PoolId
    pressure: float


class ServerDeparture(msgspec.Struct, frozen=True):
    """A backend server has announced in an answer that it is about to stop.

    Attributes
    ----------
    incarnation : int
        Start time of the incarnation in Unix milliseconds; 0 if it doesn't report it.
    age : float
        Time since the announcement, in seconds.
    """

    server: ids.ServerId
    incarnation: int
    age: float


class ServerRest(msgspec.Struct, frozen=True):
    """A backend server has asked the sender for a rest; sent to homes of pools.

    Attributes
    ----------
    incarnation : int
        As in :class:`ServerDeparture`.
    age, left : float
        Time since the server asked for it, and until it ends, in seconds.
    """

    pool: ids.PoolId
    server: ids.ServerId
    incarnation: int
    age: float
    left: float


class StreamOrigin(msgspec.Struct, frozen=True):
    """At which service and software version a stream began.

    Attributes
    ----------
    request : RequestId
        The request that brought its first event.
    version : SoftwareVersion
        Empty if the sender does not know the stream.
    age : float
        Time since the stream last went on, in seconds.
    """

    request: ids.RequestId
    service: ids.ServiceId
    version: ids.SoftwareVersion
    age: float


class StreamOrigins(msgspec.Struct, frozen=True):
    """Streams whose origins the receiver is to hold as well."""

    origins: tuple[StreamOrigin, ...]


class OriginRequest(msgspec.Struct, frozen=True):
    """Asks for the origin of a stream; answered by a :class:`StreamOrigin`."""

    request: ids.RequestId


class AccountUnits(msgspec.Struct, frozen=True):
    """Service recently started for an account, in tokens."""

    account: ids.AccountId
    units: float


class PoolShares(msgspec.Struct, frozen=True):
    """Service of accounts in some shards of a service, sent to another shard.

    Attributes
    ----------
    pool : PoolId
        The receiving shard.
    dimension : int
        The bit in which the numbers of the two shards differ. The units are those of
        the sender and of the shards that report to it in lower dimensions.
    """

    pool: ids.PoolId
    dimension: int
    units: tuple[AccountUnits, ...]


class Strike(msgspec.Struct, frozen=True):
    """A server crash during the run of a suspect request.

    Attributes
    ----------
    crash : str
        Identifies the incarnation of the server.
    at_ms : int
        Time at which the crash was first detected, in Unix milliseconds.
    trial : int
        Number of consecutive crashes known when the run was sent, plus one.
    run_ms : int
        Time from the first part of the answer to the crash, in milliseconds; 0 if no
        part of it had arrived.
    is_prompt : bool
        Whether the crash happened soon after the start of the run.
    """

    crash: str
    at_ms: int
    trial: int
    run_ms: int
    is_prompt: bool


class Suspect(msgspec.Struct, frozen=True):
    """Crash history of one request, or of a feature that requests share.

    Records of the same suspect are merged; merging is commutative and idempotent.

    Attributes
    ----------
    scope, whole : int
        The fingerprint of the request; of a feature ``whole`` is its value and
        ``scope`` is 0.
    acquitted_ms : int
        Crashes up to this time are disregarded, in Unix milliseconds.
    kind : int
        The kind of feature, see ``suspectfeatures.Kind``; 0 for a request.
    was_answered : bool
        Whether it had been answered of late when it was first suspected.
    """

    scope: int
    whole: int
    acquitted_ms: int
    strikes: tuple[Strike, ...]
    kind: int = 0
    was_answered: bool = False


class SuspectsDigest(msgspec.Struct, frozen=True):
    """Hash of all suspects that the sender knows.

    Attributes
    ----------
    is_answer : bool
        Whether it is the response to another digest, and so needs none itself.
    """

    digest: int
    is_answer: bool


class SuspectsStored(msgspec.Struct, frozen=True):
    """The suspects with this digest are stored, at this revision of the store."""

    digest: int
    revision: int
    era: ids.Era = ids.NO_ERA


class RelayRequest(msgspec.Struct, frozen=True):
    """Asks a router to relay objects of one kind for a limited time.

    Attributes
    ----------
    above : int
        Latest revision known to the sender; 0 for none.
    era : Era
        Era of the store to which the revision belongs.
    """

    kind: str
    above: int
    era: ids.Era = ids.NO_ERA


class RelayBatch(msgspec.Struct, frozen=True):
    """Changes to objects of one kind between two revisions; empty as a keepalive.

    Attributes
    ----------
    above, at : int
        Revisions before and after the changes.
    is_whole : bool
        Whether the batch contains all objects.
    age : float
        Time since the last response of the store to the sender, in seconds.
    is_away : bool
        Whether the store is unreachable for the sender.
    body : bytes
        The encoded changes; empty if there are none.
    era : Era
        Era of the store to which both revisions belong.
    """

    kind: str
    above: int
    at: int
    is_whole: bool
    age: float
    is_away: bool
    body: bytes
    era: ids.Era = ids.NO_ERA


class RelayHold(msgspec.Struct, frozen=True):
    """Objects that hold against the copy from which the store was restored.

    Attributes
    ----------
    era : Era
        Era that began with the restoration.
    body : bytes
        The encoded objects, as changes that lead to what holds.
    """

    kind: str
    era: ids.Era
    body: bytes


class VersionsRequest(msgspec.Struct, frozen=True):
    """Asks at which software versions streams of a service may begin."""

    service: ids.ServiceId


class NamedVersion(msgspec.Struct, frozen=True):
    """A software version, as an element of a list."""

    version: ids.SoftwareVersion


class VersionsKnown(msgspec.Struct, frozen=True):
    """The versions that serve and at which streams may begin, as the sender knows."""

    service: ids.ServiceId
    versions: tuple[NamedVersion, ...]


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
    | RelayHold
    | Suspect
    | SuspectsDigest
    | SuspectsStored
    | ServerDeparture
    | ServerRest
    | StreamOrigin
    | StreamOrigins
    | OriginRequest
    | VersionsRequest
    | VersionsKnown
)


class Frame(msgspec.Struct, frozen=True):
    """Messages from one sender to one receiver.

    Attributes
    ----------
    sequence : int
        Increases with each frame of one incarnation to the same receiver.
    """

    sender: ids.RouterId
    incarnation: ids.Incarnation
    sequence: int
    messages: tuple[Message, ...]
