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
  }
}
