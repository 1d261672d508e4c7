@0xd1c6a7f4b2e98035;
# Messages that nodes exchange. Field numbers are never reused, so that nodes of different versions stay compatible.

# --- Common types -----------------------------------------------------------

struct Address {
  port @0 :UInt16;
  union {
    ipv4 @1 :UInt32;
    # Network byte order: the first octet is the most significant byte.
    ipv6 @2 :Data;
    # Exactly 16 octets; a decoder rejects any other length.
  }
}

enum TargetState {
  cold @0;
  ready @1;
  draining @2;
  gone @3;
}

enum Presence {
  alive @0;
  suspect @1;
  unreachable @2;
  dead @3;
  left @4;
}

struct Member {
  node @0 :Text;
  incarnation @1 :UInt64;
  update @2 :UInt64;
  dataAddress @3 :Address;
  controlAddress @4 :Address;
  dataCentre @5 :Text;
  region @6 :Text;
  service @7 :Text;
  targetState @8 :TargetState;
  slots @9 :UInt32;
  catalogueRevision @10 :UInt64;
  presence @11 :Presence;
  platformUnreachable @12 :Bool;
  # The node cannot read the platform, so others must watch it.
}

# --- Datagrams (UDP, packed) ------------------------------------------------

struct PresenceClaim {
  node @0 :Text;
  incarnation @1 :UInt64;
  update @2 :UInt64;
  presence @3 :Presence;
  reporter @4 :Text;
}

struct Update {
  union {
    described @0 :Member;
    claimed @1 :PresenceClaim;
  }
}

struct CrashReport {
  crash @0 :UInt64;
  fingerprint @1 :UInt64;
  cleared @2 :Bool;
  ageS @3 :UInt16;
  # Time since the crash, in seconds.
}

struct AllowanceAsk {
  question @0 :UInt64;
  workspace @1 :UInt64;
  # Hash of the name of the workspace.
  share @2 :UInt8;
  needed @3 :UInt32;
  ahead @4 :UInt32;
  # Tokens beyond the needed ones, for requests that are expected soon.
}

struct AllowanceLoan {
  question @0 :UInt64;
  tokens @1 :UInt32;
  retryAfterMs @2 :UInt32;
  # Time until the share has a token again, if it lends fewer than were needed.
  workspace @3 :UInt64;
}

struct Datagram {
  sender @0 :Text;
  incarnation @1 :UInt64;
  catalogueRevision @2 :UInt64;
  sequence @3 :UInt64;
  kind :union {
    ping @4 :Void;
    pingReq @5 :Address;
    # Control address of the member to probe on behalf of the sender.
    ack @6 :Void;
    nack @7 :Void;
    hint @8 :Void;
    allowanceAsk @11 :AllowanceAsk;
    allowanceLoan @12 :AllowanceLoan;
  }
  updates @9 :List(Update);
  crashes @10 :List(CrashReport);
}

# --- Catalogue --------------------------------------------------------------

enum Class {
  critical @0;
  high @1;
  normal @2;
  low @3;
}

enum Preference {
  goodput @0;
  recovery @1;
}

struct Entry {
  name @0 :Text;
  owner @1 :Text;
  method @2 :Text;
  pathPrefix @3 :Text;
  service @4 :Text;
  class @5 :Class;
  deadlineMs @6 :UInt64;
  retryBound @7 :UInt32;
  concurrency @8 :UInt32;
  atMostOnce @9 :Bool;
  prefer @10 :Preference;
  host @11 :Text;
  # Empty: the entry applies to any host.
  split @12 :List(Share);
  unkeyed @13 :Bool;
  maxAttempts @14 :UInt32;
  # 0: as many attempts as the retry bound allows.
  unreadable @15 :Bool;
  public @16 :Bool;
}

struct KeyDigest {
  high @0 :UInt64;
  low @1 :UInt64;
}

struct Workspace {
  name @0 :Text;
  keys @1 :List(KeyDigest);
  priority @2 :UInt32;
  rateThousandthsPerS @3 :UInt64;
  # 0: the requests of the workspace are not limited.
  burst @4 :UInt32;
}

struct WorkspaceSet {
  revision @0 :UInt64;
  workspace @1 :Workspace;
}

struct Share {
  service @0 :Text;
  weight @1 :UInt32;
}

struct EntrySet {
  revision @0 :UInt64;
  entry @1 :Entry;
}

struct EntryRemoved {
  revision @0 :UInt64;
  name @1 :Text;
}

struct InstanceChanged {
  revision @0 :UInt64;
  instance @1 :Text;
}

struct Difference {
  from @0 :UInt64;
  to @1 :UInt64;
  set @2 :List(EntrySet);
  removed @3 :List(EntryRemoved);
  retired @4 :List(InstanceChanged);
  reinstated @5 :List(InstanceChanged);
  servicesRevision @6 :UInt64;
  # 0: the limits of the services have not changed since from.
  services @7 :List(ServiceLimit);
  keysRequired @8 :Bool;
  workspacesSet @9 :List(WorkspaceSet);
  workspacesRemoved @10 :List(EntryRemoved);
}

struct ServiceLimit {
  service @0 :Text;
  connections @1 :UInt32;
  healthPath @2 :Text;
  # Empty: the targets have no health check.
}

# --- Claims -----------------------------------------------------------------

enum NotRunProof {
  rejectedAtEntry @0;
  neverSent @1;
  refusedByGate @2;
  refusedByTarget @3;
  noRecordAtOwner @4;
}

struct Refusal {
  reason @0 :Text;
  # Label of the refusal reason; labels do not change between versions.
  retryAfterMs @1 :UInt64;
  # 0: no retry delay is suggested.
  outcome :union {
    notRun @2 :NotRunProof;
    ran @3 :Void;
    unknown @4 :Void;
  }
}

struct GateId {
  node @0 :Text;
  incarnation @1 :UInt64;
}

struct KeyHash {
  high @0 :UInt64;
  low @1 :UInt64;
}

struct AttemptId {
  epoch @0 :UInt64;
  attempt @1 :UInt64;
}

struct Claim {
  key @0 :KeyHash;
  fingerprint @1 :UInt64;
  entryDataCentre @2 :Text;
  avoid @3 :Text;
  # Name of a gate that refused an earlier attempt; empty: no gate is to be avoided.
}

struct Run {
  shard @0 :UInt16;
  key @1 :KeyHash;
  fingerprint @2 :UInt64;
  id @3 :AttemptId;
}

struct Authorised {
  gate @0 :GateId;
  run @1 :Run;
}

struct Resolve {
  gate @0 :GateId;
  shard @1 :UInt16;
  epoch @2 :UInt64;
  key @3 :KeyHash;
  fingerprint @4 :UInt64;
  id :union {
    none @5 :Void;
    some @6 :AttemptId;
  }
}

struct ConfirmNotRun {
  ask @0 :Resolve;
  refusal @1 :Refusal;
}

struct ClaimReply {
  union {
    run @0 :Authorised;
    answered @1 :GateId;
    confirmNotRun @2 :ConfirmNotRun;
    refused @3 :Refusal;
  }
}

struct RegisteredGate {
  gate @0 :GateId;
  controlAddress @1 :Address;
  dataCentre @2 :Text;
}

struct Decided {
  reply @0 :ClaimReply;
  gate :union {
    none @1 :Void;
    some @2 :RegisteredGate;
    # The gate that the reply names, with its registered address and data centre.
  }
}

struct ClaimAnswer {
  union {
    decided @0 :Decided;
    owner @1 :RegisteredGate;
    # The node that owns the shard instead of the one that answers.
    noOwner @2 :Void;
  }
}

enum RecordOutcome {
  running @0;
  done @1;
  failed @2;
  notRun @3;
}

struct Completed {
  shard @0 :UInt16;
  key @1 :KeyHash;
  id @2 :AttemptId;
  outcome @3 :RecordOutcome;
}

struct ResolveResult {
  union {
    known @0 :RecordOutcome;
    stale @1 :UInt64;
    # The epoch in effect at the gate, 0 if there is none. The request names another epoch or another incarnation of
    # the gate.
    full @2 :Void;
  }
}

struct Fence {
  gate @0 :GateId;
  shard @1 :UInt16;
  epoch @2 :UInt64;
  floor @3 :UInt64;
  owner @4 :GateId;
}

struct RecordCopy {
  key @0 :KeyHash;
  fingerprint @1 :UInt64;
  id @2 :AttemptId;
  outcome @3 :RecordOutcome;
  holder @4 :GateId;
}

struct OwnerRecords {
  epoch @0 :UInt64;
  complete @1 :Bool;
  records @2 :List(RecordCopy);
}

struct FenceReply {
  gate @0 :GateId;
  shard @1 :UInt16;
  epoch @2 :UInt64;
  accepted @3 :Bool;
  fence @4 :UInt64;
  records @5 :List(RecordCopy);
  owner :union {
    none @6 :Void;
    some @7 :OwnerRecords;
  }
}

struct Adopt {
  gate @0 :GateId;
  shard @1 :UInt16;
  epoch @2 :UInt64;
  records @3 :List(RecordCopy);
}

struct AdoptReply {
  gate @0 :GateId;
  shard @1 :UInt16;
  fence @2 :UInt64;
  keys @3 :List(KeyHash);
}

struct HandOver {
  shard @0 :UInt16;
  epoch @1 :UInt64;
  from @2 :GateId;
}

# --- Calls (TCP) ------------------------------------------------------------

interface Node {
  members @0 (digest :List(UInt64)) -> (members :List(Member));
  # Returns the members in those buckets of the member table whose hash differs from the digest; with an empty digest,
  # all members.
  catalogueSince @1 (revision :UInt64) -> (difference :Difference);
  claim @2 (service :Text, claim :Claim) -> (answer :ClaimAnswer);
  completed @3 (service :Text, completed :Completed) -> ();
  resolve @4 (service :Text, ask :Resolve) -> (result :ResolveResult);
  fence @5 (service :Text, fence :Fence) -> (reply :FenceReply);
  adopt @6 (service :Text, adopt :Adopt) -> (reply :AdoptReply);
  handOver @7 (service :Text, handOver :HandOver) -> (accepted :Bool);
}
