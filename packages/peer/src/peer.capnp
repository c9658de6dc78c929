@0xc3a1f0b2d4e59687;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("rattanrack::peer::wire");

# What one node offers to the others.
interface PeerService {
  # Hands over messages in order. Returns when they are taken in, so that the sender has one batch under way at a time.
  deliver @0 (messages :List(Message)) -> ();
}

struct Message {
  union {
    heartbeat @0 :Heartbeat;
    configAnnouncement @1 :ConfigAnnouncement;
    creditAsk @2 :CreditAsk;
    creditGrant @3 :CreditGrant;
    claimRequest @4 :ClaimRequest;
    claimReply @5 :ClaimReply;
    answerQuery @6 :AnswerQuery;
    answerReply @7 :AnswerReply;
    nodeNews @8 :NodeNews;
    jobCall @9 :JobCall;
    jobReply @10 :JobReply;
    storeCall @11 :StoreCall;
    storeReply @12 :StoreReply;
  }
}

struct Heartbeat {
  from @0 :Text;
  address @1 :Text;
  dataCenter @2 :Text;
  sequence @3 :UInt64;
  configVersion @4 :UInt64;
  viewVersion @5 :UInt64;
  isLeaving @6 :Bool;
  load @7 :UInt32;
  seen @8 :List(SeenNode);
  introductions @9 :List(Introduction);
}

struct SeenNode {
  node @0 :UInt32;
  sequence @1 :UInt32;
  configVersion @2 :UInt32;
}

struct Introduction {
  id @0 :Text;
  address @1 :Text;
  dataCenter @2 :Text;
  sequence @3 :UInt64;
  isLeaving @4 :Bool;
}

struct ConfigAnnouncement {
  version @0 :UInt64;
  document @1 :Text;
  basedOn @2 :UInt64;
  keptPrefix @3 :UInt32;
  keptSuffix @4 :UInt32;
  contentHash @5 :UInt64;
  replyTo @6 :Text;
}

struct Credit {
  worker @0 :Text;
  count @1 :UInt32;
}

struct ResourceSize {
  millicores @0 :Int64;
  mebibytes @1 :Int64;
  accelerators @2 :Int64;
}

struct CreditAsk {
  pool @0 :Text;
  from @1 :Text;
  urgentWaiting @2 :UInt32;
  normalWaiting @3 :UInt32;
  backgroundWaiting @4 :UInt32;
  oldestWaitMicroseconds @5 :Int64;
  idle @6 :List(Credit);
  inUse @7 :List(Credit);
  number @8 :UInt64;
  lastGrant @9 :UInt64;
  firstSize @10 :ResourceSize;
  firstCredits @11 :UInt32;
}

struct CreditGrant {
  pool @0 :Text;
  to @1 :Text;
  term @2 :UInt64;
  granted @3 :List(Credit);
  recalled @4 :List(Credit);
  number @5 :UInt64;
  wanted @6 :UInt32;
  firstUrgency @7 :UInt8;
  firstWaitMicroseconds @8 :Int64;
}

enum ClaimState {
  claimed @0;
  withdrawn @1;
  completed @2;
  failed @3;
}

struct Claim {
  key @0 :Text;
  fingerprint @1 :UInt64;
  attempt @2 :Text;
  owner @3 :Text;
  state @4 :ClaimState;
  output @5 :Data;
}

enum ClaimVerdict {
  granted @0;
  taken @1;
  contentDiffers @2;
  unavailable @3;
}

struct ClaimRequest {
  exchange @0 :UInt64;
  from @1 :Text;
  claim @2 :Claim;
}

struct ClaimReply {
  exchange @0 :UInt64;
  verdict @1 :ClaimVerdict;
  claim @2 :Claim;
}

struct AnswerQuery {
  exchange @0 :UInt64;
  from @1 :Text;
  request @2 :Text;
  cancels @3 :Bool;
}

struct AnswerReply {
  exchange @0 :UInt64;
  state @1 :UInt8;
  output @2 :Data;
  reason @3 :Text;
  retryAfterMicroseconds @4 :Int64;
}

struct HeldCell {
  cell @0 :Text;
  term @1 :Int64;
}

struct NodeNews {
  node @0 :Text;
  address @1 :Text;
  sequence @2 :UInt64;
  isLeaving @3 :Bool;
  isStoreInReach @4 :Bool;
  cells @5 :List(HeldCell);
  closing @6 :List(Text);
  emptied @7 :List(Text);
  loads @8 :List(CellLoad);
  movable @9 :List(Text);
  closingHeard @10 :UInt64;
  processorShare @11 :Float64 = 1; # Cores.
  intervalMicroseconds @12 :Int64;
  candidates @13 :List(TakeoverCandidate);
  seenOwners @14 :List(SeenOwner);
  relayTo @15 :List(Text);
  isPassedOn @16 :Bool;
  uptimeMicroseconds @17 :Int64;
  ageMicroseconds @18 :Int64;
  emptiedWorkers @19 :List(Text); # In the order of emptied.
}

struct TakeoverCandidate {
  node @0 :Text;
  processorShare @1 :Float64 = 1; # Cores.
}

struct SeenOwner {
  node @0 :Text;
  sequence @1 :UInt64;
}

struct CellLoad {
  cell @0 :Text;
  usedMillicores @1 :Int64;
  waitingMillicores @2 :Int64;
  offeredMillicores @3 :Int64;
}

enum JobOperation {
  submit @0;
  state @1;
  cancel @2;
  pending @3;
}

struct JobCall {
  exchange @0 :UInt64;
  replyTo @1 :Text;
  operation @2 :JobOperation;
  cell @3 :Text;
  job @4 :Text;
  queue @5 :Text;
  body @6 :Data;
  configVersion @7 :UInt64;
  queueAddress @8 :Text;
  customer @9 :Text;
}

enum JobCallStatus {
  done @0;
  notKnown @1;
  refused @2;
  notOwner @3;
  unsettled @4;
  elsewhere @5;
  ofOtherCustomer @6;
}

struct JobReply {
  exchange @0 :UInt64;
  status @1 :JobCallStatus;
  state @2 :UInt8;
  pending @3 :Int32;
  retryAfterMicroseconds @4 :Int64;
  cells @5 :List(Text);
}

struct RowCondition {
  table @0 :Text;
  key @1 :Text;
  version @2 :UInt64;
}

struct RowWrite {
  table @0 :Text;
  key @1 :Text;
  value @2 :Data;
  isRemoval @3 :Bool;
}

struct PartTransaction {
  part @0 :Text;
  conditions @1 :List(RowCondition);
  writes @2 :List(RowWrite);
}

struct RowRange {
  table @0 :Text;
  part @1 :Text;
  from @2 :Text;
}

struct ChangesQuery {
  table @0 :Text;
  version @1 :UInt64;
  waitMicroseconds @2 :Int64;
}

struct StoreCall {
  exchange @0 :UInt64;
  replyTo @1 :Text;
  union {
    transaction @2 :PartTransaction;
    range @3 :RowRange;
    changes @4 :ChangesQuery;
  }
}

struct PartRow {
  table @0 :Text;
  key @1 :Text;
  value @2 :Data;
  version @3 :UInt64;
  isRemoved @4 :Bool;
  part @5 :Text;
}

enum TransactionStatus {
  done @0;
  conflict @1;
  refused @2;
  unavailable @3;
  unknown @4;
}

struct TransactionOutcome {
  status @0 :TransactionStatus;
  version @1 :UInt64;
  current @2 :List(PartRow);
  detail @3 :Text;
}

enum ReadStatus {
  done @0;
  historyGone @1;
  unavailable @2;
}

struct ReadOutcome {
  status @0 :ReadStatus;
  rows @1 :List(PartRow);
  hasMore @2 :Bool;
  version @3 :UInt64;
  detail @4 :Text;
}

struct StoreReply {
  exchange @0 :UInt64;
  union {
    none @1 :Void;
    transaction @2 :TransactionOutcome;
    read @3 :ReadOutcome;
  }
}
