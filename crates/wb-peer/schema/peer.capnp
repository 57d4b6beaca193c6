@0xd1f0a6b3c4e29871;
# Calls between instances. Payloads are domain types in the postcard encoding.

interface Peer {
  # Exchanges news, both ways; answering it also answers a membership probe.
  exchange @0 (news :Data) -> (news :Data);
  # Asks the receiver to probe another instance's peer address.
  probe @1 (target :Text) -> (alive :Bool);
  # Policy rows that changed after a version.
  rows @2 (after :UInt64) -> (delta :Data);
  # Asks for a ticket, for the process named.
  take @3 (ticket :Text, holder :Text, incarnation :UInt64) -> (handover :Data);
  # Asks what became of passed work, and bars it if it has not begun.
  settle @4 (request :Text) -> (fate :Data);
  # Hands over records of tickets.
  adopt @5 (records :Data) -> ();
}
