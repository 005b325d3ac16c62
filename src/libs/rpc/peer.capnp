@0xd173ee167e9c1268;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Rpc");

# What agents of one service ask of each other over TCP.

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
  id @0 :UInt64;             # the same for each repeat of one transfer
  service @1 :UInt64;
  receiver @2 :UInt64;       # instance that the sender means
  receiverIncarnation @3 :UInt64;
  tcp @4 :TcpState;
  unreadBytes @5 :Data;      # received from the caller, not yet part of a whole request
  feed @6 :Feed;             # target is empty where no feed is open
  epoch @7 :UInt32;          # of the flow at the receiver
  waitLimitMs @8 :UInt32;    # taken only for a shorter wait than this; 0 where any will do
  deadlineMs @9 :UInt32;     # what remains for the first unread request; 0 where none waited
}

enum TransferOutcome {
  taken @0;
  refused @1;
  otherInstance @2; # the receiver is not the one meant, or another incarnation of it
}

interface Peer {
  # Asks whether the receiver is the one meant and has room. Without effect.
  offerFlow @0 (receiver :UInt64, receiverIncarnation :UInt64, waitLimitMs :UInt32)
      -> (accepted :Bool);

  # Idempotent by the transfer's id.
  takeFlow @1 (transfer :FlowTransfer) -> (outcome :TransferOutcome);
}
