@0xb1f0c4d52a9e7613;
# What daemons tell each other of the platform's store.

interface StoreMirror {
  list @0 () -> (answer :Answer);
  # Everything as the daemon knows it.

  watch @1 (after :UInt64, waitMs :UInt32) -> (answer :Answer);
  # Changes after a position, as soon as there are any, or none after the wait.

  report @2 (items :List(Item)) -> ();
  # Records of the caller that are not in the platform's store yet.
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
}

struct Item {
  key @0 :Text;
  isRemoved @1 :Bool;
  value @2 :Data;
}
