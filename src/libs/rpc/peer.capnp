@0xd173ee167e9c1268;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Rpc");

# Calls between agents of one service over TCP.

struct TcpState {
  callerAddress @0 :UInt32;
  serviceAddress @1 :UInt32;
  callerPort @2 :UInt16;
  servicePort @3 :UInt16;
  receiveNext @4 :UInt32;
  sendNext @5 :UInt32;
  lastAcknowledged @6 :UInt32;
  windowUpdateSequence @7 :UInt32;
  windowUpdateAcknowledgement @8 :UInt32;
  receiveWindow @9 :UInt32;
  sendWindow @10 :UInt32;
  sendWindowMaximum @11 :UInt32;
  congestionWindow @12 :UInt32;
  slowStartThreshold @13 :UInt32;
  announcedRightEdge @14 :UInt32;
  announcedWindow @15 :UInt32;
  maximumSegment @16 :UInt16;
  flags @17 :UInt16;
  sendScale @18 :UInt8;
  receiveScale @19 :UInt8;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct Feed {
  target @0 :Text;
  lastEventId @1 :Text;
  headers @2 :List(Header);
}

struct FlowTransfer {
  id @0 :UInt64;             # the same in each retry of one transfer
  service @1 :UInt64;
  receiver @2 :UInt64;       # instance that the sender addresses
  receiverIncarnation @3 :UInt64;
  tcp @4 :TcpState;
  unreadBytes @5 :Data;      # received from the caller, not yet part of a complete request
  feed @6 :Feed;             # target is empty if no feed is open
  epoch @7 :UInt32;          # of the flow once the receiver owns it
  waitLimitMs @8 :UInt32;    # accepted only if the expected wait is shorter; 0: no limit
  deadlineMs @9 :UInt32;     # time left for the first unread request; 0 if none is pending
}

enum TransferOutcome {
  taken @0;
  refused @1;
  otherInstance @2; # the receiver is not the instance and incarnation addressed
}

interface Peer {
  # Checks whether the receiver is the instance addressed and can accept a flow. Has no effect.
  offerFlow @0 (receiver :UInt64, receiverIncarnation :UInt64, waitLimitMs :UInt32)
      -> (accepted :Bool);

  # Moves a flow to the receiver. Idempotent: retries have the same transfer id.
  takeFlow @1 (transfer :FlowTransfer) -> (outcome :TransferOutcome);
}
