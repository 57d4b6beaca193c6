@0xd1f0a6b3c4e29871;
# RPC between instances. Data fields hold domain types in the postcard encoding.

interface Peer {
  # Exchanges gossip messages in both directions. A response also counts as the answer to a
  # membership probe.
  exchange @0 (news :Data) -> (news :Data);
  # Asks the receiver to probe another instance's peer address.
  probe @1 (target :Text) -> (alive :Bool);
  # Returns the policy rows that changed after a version.
  rows @2 (after :UInt64) -> (delta :Data);
  # Asks the receiver to hand a ticket over to the process with the given name and incarnation.
  take @3 (ticket :Text, holder :Text, incarnation :UInt64) -> (handover :Data);
  # Returns the outcome of a forwarded request, and bars the request if it has not begun.
  settle @4 (request :Text) -> (fate :Data);
  # Hands ticket records over to the receiver.
  adopt @5 (records :Data) -> ();
}
