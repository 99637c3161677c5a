@0xd5c0a5be1f3a7c21;
# Frames between routers. For compatibility between versions, fields and union members
# are only added, with new numbers: an older router skips unknown union members, and a
# newer one reads defaults for fields that an older one did not send.
#
# A value of type Text is an index into the string table `texts` of its frame.

using Text = UInt32;

# An index plus one; 0, also the value if the sender is older, is the empty string.
using OptionalText = UInt32;

struct Frame {
  sender @0 :Text;
  incarnation @1 :UInt64;
  sequence @2 :UInt64;
  texts @3 :Data;  # Distinct strings of the frame, separated by NUL.
  messages @4 :List(Message);
}

struct Message {
  union {
    demand @0 :Demand;
    grant @1 :Grant;
    grantUsed @2 :GrantUsed;
    grantEnded @3 :GrantEnded;
    slotsHeld @4 :SlotsHeld;
    counter @5 :Counter;
    member @6 :Member;
    probe @7 :Probe;
    probeRequest @8 :ProbeRequest;
    ack @9 :Ack;
    serverFact @10 :ServerFact;
    configurationOffer @11 :ConfigurationOffer;
    configurationRequest @12 :ConfigurationRequest;
    configurationValue @13 :ConfigurationValue;
    hello @14 :Hello;
    proof @15 :Proof;
    heartbeat @16 :Heartbeat;
    membersRequest @17 :MembersRequest;
    lift @18 :Lift;
    pending @19 :Pending;
    pressure @20 :Pressure;
    vote @21 :Vote;
    snapshot @22 :Snapshot;
    slotRequest @23 :SlotRequest;
    slotCancel @24 :SlotCancel;
    slotOffer @25 :SlotOffer;
    slotRefusal @26 :SlotRefusal;
    runHeld @27 :RunHeld;
    runBegun @28 :RunBegun;
    runEnded @29 :RunEnded;
    queueAlive @30 :QueueAlive;
    relayRequest @31 :RelayRequest;
    relayBatch @32 :RelayBatch;
    poolShares @33 :PoolShares;
    runMove @34 :RunMove;
    runMoved @35 :RunMoved;
    suspect @36 :Suspect;
    suspectsDigest @37 :SuspectsDigest;
    suspectsStored @38 :SuspectsStored;
    serverDeparture @39 :ServerDeparture;
    serverRest @40 :ServerRest;
    streamOrigin @41 :StreamOrigin;
    streamOrigins @42 :StreamOrigins;
    originRequest @43 :OriginRequest;
    relayHold @44 :RelayHold;
    versionsRequest @45 :VersionsRequest;
    versionsKnown @46 :VersionsKnown;
  }
}

struct Demand {
  service @0 :Text;
  account @1 :Text;
  waiting @2 :UInt32;
  oldestAge @3 :Float32;
  sequence @4 :UInt64;
  costEstimate @5 :Float32;
}

struct Grant {
  grant @0 :UInt64;
  server @1 :Text;
  service @2 :Text;
  account @3 :Text;
  validSeconds @4 :Float32;
}

struct GrantUsed {
  grant @0 :UInt64;
  server @1 :Text;
  account @2 :Text;
  costEstimate @3 :Float32;
}

struct GrantEnded {
  grant @0 :UInt64;
  server @1 :Text;
  account @2 :Text;
  cost @3 :Float64;
}

struct HeldGrant {
  account @0 :Text;
  cost @1 :Float64;
}

struct SlotsHeld {
  server @0 :Text;
  grants @1 :List(HeldGrant);
}

struct Counter {
  router @0 :Text;
  incarnation @1 :UInt64;
  service @2 :Text;
  account @3 :Text;
  units @4 :Float64;
}

struct Lift {
  service @0 :Text;
  account @1 :Text;
  level @2 :Float64;
}

struct Pending {
  service @0 :Text;
  account @1 :Text;
  units @2 :Float64;
  sequence @3 :UInt64;
}

struct Total {
  service @0 :Text;
  account @1 :Text;
  units @2 :Float64;
}

struct Gone {
  router @0 :Text;
  incarnation @1 :UInt64;
}

struct Snapshot {
  counters @0 :List(Counter);
  lifts @1 :List(Lift);
  totals @2 :List(Total);
  gone @3 :List(Gone);
}

struct Member {
  router @0 :Text;
  incarnation @1 :UInt64;
  state @2 :Text;
  dataCentre @3 :Text;
  callerAddress @4 :Text;
  peerAddress @5 :Text;
  generation @6 :UInt64;
  refutations @7 :UInt64;
  cores @8 :Float64 = 1.0;
  isBusy @9 :Bool;
  era @10 :UInt32;
  version @11 :UInt64;
}

struct Probe {
  sequence @0 :UInt64;
  digest @1 :UInt64;
}

struct ProbeRequest {
  sequence @0 :UInt64;
  target @1 :Text;
}

struct Ack {
  sequence @0 :UInt64;
  subject @1 :Text;
}

struct ServerFact {
  server @0 :Text;
  state @1 :Text;
  version @2 :UInt64;
}

struct Vote {
  server @0 :Text;
  isFailing @1 :Bool;
}

struct ConfigurationOffer {
  generation @0 :UInt64;
}

struct ConfigurationRequest {
  above @0 :UInt64;
  era @1 :UInt32;
  version @2 :UInt64;
}

struct ConfigurationValue {
  generation @0 :UInt64;
  body @1 :Data;
  era @2 :UInt32;
}

struct Hello {
  version @0 :UInt32;
  nonce @1 :Data;
}

struct Proof {
  digest @0 :Data;
}

struct Heartbeat {
}

struct MembersRequest {
}

struct Pressure {
  service @0 :Text;
  waiting @1 :UInt32;
  busy @2 :UInt32;
  slots @3 :UInt32;
}

struct PromptPart {
  part @0 :Text;
  tokens @1 :UInt32;
}

struct SlotRequest {
  request @0 :Text;
  pool @1 :Text;
  account @2 :Text;
  dataCentre @3 :Text;
  parts @4 :List(PromptPart);
  promptTokens @5 :UInt32;
  outputTokens @6 :UInt32;
  waited @7 :Float32;
  objective @8 :Float32;
  timeout @9 :Float32;
  gapMax @10 :Float32;
  stride @11 :UInt16;
  excluded @12 :List(Text);
  isolation @13 :UInt64;
  version @14 :OptionalText;
}

struct SlotCancel {
  request @0 :Text;
  pool @1 :Text;
}

struct SlotOffer {
  request @0 :Text;
  server @1 :Text;
  pool @2 :Text;
  pressure @3 :Float32;
  source @4 :Text;
}

struct SlotRefusal {
  request @0 :Text;
  retryAfter @1 :Float32;
  reason @2 :Text;
  pool @3 :Text;
  pressure @4 :Float32;
}

struct RunHeld {
  request @0 :Text;
  pool @1 :Text;
  account @2 :Text;
  server @3 :Text;
  parts @4 :List(PromptPart);
  promptTokens @5 :UInt32;
  isBegun @6 :Bool;
  left @7 :Float32;
  isolation @8 :UInt64;
  origin @9 :Text;
  version @10 :OptionalText;
}

# No report if the pace is 0, the default if the sender is older.
struct LoadReport {
  running @0 :UInt16;
  waiting @1 :UInt16;
  slots @2 :UInt16;
  pace @3 :Float32;
  age @4 :Float32;
}

struct RunBegun {
  request @0 :Text;
  pool @1 :Text;
  server @2 :Text;
  origin @3 :Text;
  version @4 :OptionalText;
  load @5 :LoadReport;
}

struct RunEnded {
  request @0 :Text;
  pool @1 :Text;
  server @2 :Text;
  ending @3 :Text;
  pause @4 :Float32;
  load @5 :LoadReport;
}

struct QueueAlive {
  pool @0 :Text;
  pressure @1 :Float32;
}

struct ServerDeparture {
  server @0 :Text;
  incarnation @1 :UInt64;
  age @2 :Float32;
}

struct ServerRest {
  pool @0 :Text;
  server @1 :Text;
  incarnation @2 :UInt64;
  age @3 :Float32;
  left @4 :Float32;
}

struct StreamOrigin {
  request @0 :Text;
  service @1 :Text;
  version @2 :OptionalText;
  age @3 :Float32;
}

struct StreamOrigins {
  origins @0 :List(StreamOrigin);
}

struct OriginRequest {
  request @0 :Text;
}

struct VersionsRequest {
  service @0 :Text;
}

struct NamedVersion {
  version @0 :OptionalText;
}

struct VersionsKnown {
  service @0 :Text;
  versions @1 :List(NamedVersion);
}

struct AccountUnits {
  account @0 :Text;
  units @1 :Float64;
}

struct PoolShares {
  pool @0 :Text;
  dimension @1 :UInt8;
  units @2 :List(AccountUnits);
}

struct RelayRequest {
  kind @0 :Text;
  above @1 :UInt64;
  era @2 :UInt32;
}

struct RelayBatch {
  kind @0 :Text;
  above @1 :UInt64;
  at @2 :UInt64;
  isWhole @3 :Bool;
  age @4 :Float32;
  isAway @5 :Bool;
  body @6 :Data;
  era @7 :UInt32;
}

struct RelayHold {
  kind @0 :Text;
  era @1 :UInt32;
  body @2 :Data;
}

struct RunMove {
  request @0 :Text;
  pool @1 :Text;
  server @2 :Text;
  target @3 :Text;
}

struct RunMoved {
  request @0 :Text;
  pool @1 :Text;
  server @2 :Text;
  target @3 :Text;
  isMoved @4 :Bool;
}

struct Strike {
  crash @0 :Text;
  atMs @1 :UInt64;
  trial @2 :UInt8;
  runMs @3 :UInt32;
  isPrompt @4 :Bool;
}

struct Suspect {
  scope @0 :UInt64;
  whole @1 :UInt64;
  acquittedMs @2 :UInt64;
  strikes @3 :List(Strike);
  kind @4 :UInt8;
  wasAnswered @5 :Bool;
}

struct SuspectsDigest {
  digest @0 :UInt64;
  isAnswer @1 :Bool;
}

struct SuspectsStored {
  digest @0 :UInt64;
  revision @1 :UInt64;
  era @2 :UInt32;
}
