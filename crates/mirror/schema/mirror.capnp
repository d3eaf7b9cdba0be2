@0xb1f0c4d52a9e7613;
# What daemons tell each other: the platform's store, and what they observe of targets and requests.

interface StoreMirror {
  list @0 () -> (answer :Answer);
  # Everything as the daemon knows it.

  watch @1 (after :UInt64, waitMs :UInt32, era :UInt64) -> (answer :Answer);
  # Changes after a position, as soon as there are any, or none after the wait.

  report @2 (items :List(Item)) -> ();
  # Records of the caller that are not in the platform's store yet.

  exchange @3 (observations :Observations, sinceMs :UInt32) -> (sample :FleetSample);
  # Merges what the caller has observed since its last call, and returns what this daemon has learned
  # in the last milliseconds.

  takePermit @4 (request :PermitRequest) -> (answer :PermitAnswer);
  # A permit for one request to a target with a limit.

  tellLimits @5 (limits :List(TargetLimit)) -> ();
  # Limits that have changed.

  tellStreams @6 (streams :List(StreamOrigin), areRelayed :Bool) -> ();
  # Streams that the caller has begun, or relays to be written to the store.

  findStream @7 (stream :UInt64, service :UInt64) -> (isKnown :Bool, version :UInt64, areSeveral :Bool);
  # The software version that began a stream, and whether several versions of its service may have.
}

struct StreamOrigin {
  stream @0 :UInt64;
  # Hash of workspace and request id.

  version @1 :UInt64;
  # Hash of the software version of the target that began it.

  lifetimeMs @2 :UInt32;
  # Time left in which its caller may come back.
}

struct Answer {
  isKnown @0 :Bool;
  # False if the daemon knows nothing yet, or not all that was asked for.

  items @1 :List(Item);
  revision @2 :UInt64;

  ageMs @3 :UInt64;
  # Age of the daemon's knowledge when it answered.

  heldMs @4 :UInt64;
  # Time that the call was held before the answer.

  era @5 :UInt64;
  # Number of times that the store was restored from a copy; the revision belongs to it.
}

struct Item {
  key @0 :Text;
  isRemoved @1 :Bool;
  value @2 :Data;
}

struct Observations {
  loads @0 :List(TargetLoad);
  requests @1 :List(ServiceParts);
  # Number of requests by part.

  limits @2 :List(TargetLimit);

  streams @3 :List(StreamOrigin);
  # Unfinished streams, for the store.
}

struct FleetSample {
  loads @0 :List(TargetLoad);
  popular @1 :List(ServiceParts);
  # Share of the service's requests by part, in millionths.

  limits @2 :List(TargetLimit);
}

struct TargetLoad {
  target @0 :UInt32;
  # Hash of the target's incarnation.

  requests @1 :UInt16;
  ageMs @2 :UInt16;
}

struct ServiceParts {
  service @0 :UInt32;
  # Hash of the service's name.

  parts @1 :List(Part);
}

struct Part {
  id @0 :UInt64;
  number @1 :UInt32;
}

struct TargetLimit {
  target @0 :UInt32;
  # Hash of the target's incarnation.

  isLimited @1 :Bool;
  perMillionS @2 :UInt64;
  # Requests in a million seconds, if it is limited.

  ageMs @3 :UInt32;
  # Age of the answer that tells it.

  roundTripMs @4 :UInt32;
  # Time from the request to that answer.

  coldLeftMs @5 :UInt32;
  # Time for which the target stays cold; zero if it is warm.
}

struct PermitRequest {
  limit @0 :TargetLimit;
  # The limit as the caller knows it.

  rank @1 :UInt8;
  workspace @2 :Text;
  weight @3 :UInt32;
}

struct PermitAnswer {
  result @0 :Result;
  waitMs @1 :UInt32;
  # Time until there may be a permit, if there is none.

  limit @2 :TargetLimit;
  # The limit as the daemon knows it.

  enum Result {
    granted @0;
    denied @1;
    unlimited @2;
    notAllocator @3;
  }
}
