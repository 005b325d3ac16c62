@0xb66648a20bf7c8a7;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("Rpc");

# Messages between balancers and agents over UDP. The bytes of a caller's packet directly follow its
# header.

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
  epoch @4 :UInt32;        # number of owners that the flow has had; the greatest is right
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

enum RosterScope {
  reported @0;             # the members that reported to the balancer since its start
  recorded @1;             # these and the ones in the directory
  complete @2;             # all; a member that the roster omits is gone
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
  silentMs @9 :UInt32;     # time since any process received a report from the member itself
  unheard @10 :Bool;       # only known from the directory
  hasNoServer @12 :Bool;   # no backend server runs beside the agent, so that it owns no flow
  serverListens @13 :Bool; # the agent's running backend server accepts connections
  restarting @14 :Bool;    # the agent has not taken over its flows since its start
  gone @11 :Bool;          # the sender of the roster heard it, and knows that it owns no flow now
}

struct Evacuations {
  timeline @0 :UInt64;     # position in the store up to which all changes are contained
  revision @1 :UInt64;
  domains @2 :List(Text);  # the evacuated failure domains
}

struct ReportDetails {
  evacuations @0 :Evacuations; # as known to the sender
  startDelayMs @1 :UInt32;     # until the backend server may get another flow
  warmsUp @2 :Bool;            # its warm-up rate applies, if there is one
  previousGeneration @3 :UInt64; # a balancer's configuration before the present one
}

struct FlowTerms {
  warmUpRate @0 :Float32; # new flows per second that a server bears while it warms up; 0: unlimited
  priority @1 :UInt8;     # 0 is the most urgent
  objectiveMs @2 :UInt32; # time to the response; 0: none is stated
}

struct FlowHandover {
  agent @0 :UInt64;         # the instance whose flows these are
  incarnation @1 :UInt64;   # of its process that stopped
  sender @2 :UInt64;        # the instance that sends this
  serverStartMs @3 :Int64;  # Unix time of the backend server's start
  knowsAllFlows @4 :Bool;   # the server held no flow that the agent did not know
  successor @5 :UInt64;     # in an answer: incarnation of a process that ran since; 0: none known
  part @6 :UInt16;
  partCount @7 :UInt16;     # 0 in an answer: there is no handover
  flows @8 :List(FlowEntry);
}

struct Datagram {
  service @0 :UInt64;
  generation @1 :UInt64;
  union {
    packet :group {
      chain @2 :List(Hop);   # the agents to visit, best rank first
      position @3 :UInt8;    # index of the receiver in chain
      passes @4 :UInt8;      # number of times that agents forwarded the packet
      opensFlow @5 :Bool;
      redirects @16 :UInt8;  # number of redirects that the packet followed
      ranksBefore @17 :UInt8; # obsolete; searchedScore replaces it
      originAddress @18 :UInt32; # the balancer that received the packet from the fabric
      originPort @19 :UInt16;
      originSearches @42 :Bool; # that balancer asks all agents for the flow's owner
      originContinues @43 :Bool; # that balancer asks further services; returned to it at the end
      isUncertain @44 :Bool;     # obsolete; set if there are gaps
      servicesAsked @45 :UInt8;  # services that were asked before the present one
      searchedScore @46 :Float64; # the search asked the instances down to this score; 0: none
      searchesSuspects @47 :Bool; # the search got to the suspect instances
      toClaimant @50 :Bool;      # the receiver told the sender that it owns the flow
      restartAnnounced @48 :Bool; # obsolete; set if an agent is away
      gaps @54 :UInt8;           # bits of what the search could not find out so far
      asksServers @58 :Bool;     # agents may deliver the packet without knowing the flow
      terms @53 :FlowTerms;      # of a SYN; null if all of them have their defaults
    }
    redirects :group {
      owner @6 :Hop;
      flows @7 :List(FlowEntry);
    }
    probe :group {
      sequence @8 :UInt64;
      sender @9 :Hop;
      target @10 :Hop;       # the process to check; a receiver other than the target probes it
    }
    stateNotice :group {
      subject @14 :Hop;
      suspect @15 :Bool;     # true: the subject is suspect; false: it is draining
    }
    probeAnswer :group {
      sequence @11 :UInt64;
      target @12 :Hop;
      askerIncarnation @13 :UInt64; # of the probe's sender, as known to the target; 0 if unknown
    }
    report :group {
      sender @20 :Member;
      reportNumber @21 :UInt64;
      waitingFlows @22 :UInt32; # flows with an unanswered request
      openFlows @23 :UInt32;
      slots @24 :UInt32;        # requests that the backend server runs at once
      answerMicros @25 :UInt32; # smoothed time from a request's last byte to the response
      knownMembers @26 :UInt64; # digest of the sender's roster
      wantsRoster @27 :Bool;    # the receiver answers with its roster if the digests differ
      leaves @28 :Bool;         # the sender leaves permanently after this report
      failedPerMille @33 :UInt16; # smoothed share of the backend server's responses that are errors
      unknownFlows @34 :Bool;     # the backend server may hold flows that the sender does not know
      olderServer @57 :Bool;      # the backend server ran before the sender's process
      details @51 :ReportDetails; # null if all of them have their defaults
    }
    roster :group {
      members @29 :List(Member); # sorted by name, complete between afterName and the last one
      afterName @30 :Text;       # the name before the first member; empty in the first part
      endsRoster @31 :Bool;      # no member follows the last one
      rosterOf @32 :Text;        # name of the balancer that keeps the roster
      scope @49 :RosterScope;
    }
    ownerQuery :group {
      askerAddress @35 :UInt32;
      askerPort @36 :UInt16;
      askedFlows @37 :List(FlowEntry);
    }
    ownerAnswer :group {
      answerer @38 :Hop;
      knowsAllFlows @39 :Bool;       # no flow is open that the answerer does not know
      denied @40 :List(FlowEntry);   # asked flows that the answerer does not own
      owned @41 :List(FlowEntry);    # asked flows that it owns
    }
    evacuationNotice @52 :Evacuations;
    handover @55 :FlowHandover;
    handoverRequest :group {
      requester @56 :Hop;      # with the incarnation of its present process
    }
  }
}
