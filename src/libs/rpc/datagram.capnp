@0xb66648a20bf7c8a7;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Rpc");

# What balancers and agents send each other over UDP. A packet follows its header as raw bytes.

struct Hop {
  instance @0 :UInt64;
  incarnation @1 :UInt64;
  address @2 :UInt32;
  port @3 :UInt16;
}

struct FlowEntry {
  callerAddress @0 :UInt32;
  serviceAddress @1 :UInt32;
  callerPort @2 :UInt16;
  servicePort @3 :UInt16;
  epoch @4 :UInt32;        # how often the flow changed its owner; the greatest is right
}

enum Role {
  agent @0;
  balancer @1;
}

enum State {
  ready @0;
  draining @1;
  suspect @2;
}

struct Member {
  name @0 :Text;
  service @1 :Text;        # empty for a balancer
  failureDomain @2 :Text;
  address @3 :UInt32;
  tunnelPort @4 :UInt16;
  peerPort @5 :UInt16;
  incarnation @6 :UInt64;
  role @7 :Role;
  state @8 :State;
  silentMs @9 :UInt32;     # since the member itself was last heard by anyone
}

struct Datagram {
  service @0 :UInt64;
  generation @1 :UInt64;
  union {
    packet :group {
      chain @2 :List(Hop);   # the agents to visit, best rank first
      position @3 :UInt8;    # index into chain of the agent that this is sent to
      passes @4 :UInt8;      # how often agents passed the packet on
      opensFlow @5 :Bool;
      redirects @16 :UInt8;  # how often it followed a redirect
      ranksBefore @17 :UInt8; # instances that rank before the chain and were asked already
      originAddress @18 :UInt32; # the balancer that took the packet from the fabric
      originPort @19 :UInt16;
    }
    redirects :group {
      owner @6 :Hop;
      flows @7 :List(FlowEntry);
    }
    probe :group {
      sequence @8 :UInt64;
      sender @9 :Hop;
      target @10 :Hop;       # whom the answer is about; another than the receiver asks to probe it
    }
    stateNotice :group {
      subject @14 :Hop;
      suspect @15 :Bool;     # otherwise the subject drains
    }
    probeAnswer :group {
      sequence @11 :UInt64;
      target @12 :Hop;
      askerIncarnation @13 :UInt64; # as the target knows the asker; 0 where it doesn't
    }
    report :group {
      sender @20 :Member;
      reportNumber @21 :UInt64;
      waitingFlows @22 :UInt32; # flows with a request that is not answered yet
      openFlows @23 :UInt32;
      slots @24 :UInt32;
      answerMicros @25 :UInt32; # smoothed time from a request's last byte to the answer
      knownMembers @26 :UInt64; # digest of the sender's roster
      wantsRoster @27 :Bool;    # the receiver answers with its roster where the digests differ
      leaves @28 :Bool;         # the sender is gone for good after this report
      failedPerMille @33 :UInt16; # answers of the backend server that were errors, smoothed
    }
    roster :group {
      members @29 :List(Member); # by name, without gaps between afterName and the last of them
      afterName @30 :Text;
      endsRoster @31 :Bool;      # no member follows the last one
      rosterOf @32 :Text;        # the balancer that keeps it
    }
  }
}
