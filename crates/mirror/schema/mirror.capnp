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
}

struct FleetSample {
  loads @0 :List(TargetLoad);
  popular @1 :List(ServiceParts);
  # Share of the service's requests by part, in millionths.
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
