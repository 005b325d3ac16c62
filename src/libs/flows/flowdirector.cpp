#include "flows/flowdirector.h"

#include <algorithm>
#include <map>

namespace Flows {

const char *dropCauseText(DropCause cause)
{
    switch (cause) {
    case DropCause::OtherService:
        return "other-service";
    case DropCause::OtherInstance:
        return "other-instance";
    case DropCause::TooManyPasses:
        return "too-many-passes";
    case DropCause::NoOwner:
        return "no-owner";
    case DropCause::NoRoom:
        return "no-room";
    case DropCause::FlowMoving:
        return "flow-moving";
    }
    return "unknown";
}

static Decision drop(DropCause cause, Routing::SearchFindings findings = {})
{
    return {Drop{cause, findings}, std::nullopt, false};
}

/// Returns how often agents may forward the packet: a search covers all instances of the service,
/// and needs more passes.
static std::uint8_t maxPasses(const Tunnel::PacketHeader &header)
{
    return header.searched.isStart() ? MaxPasses : MaxSearchPasses;
}

/// Forwards the packet to the next hop of its chain, or drops it with \a endCause at the end.
static Decision forwardToNext(Tunnel::PacketHeader header, DropCause endCause)
{
    if (std::size_t(header.position) + 1 >= header.chain.size())
        return drop(endCause, header.findings);
    if (header.passes >= maxPasses(header))
        return drop(DropCause::TooManyPasses);
    ++header.position;
    ++header.passes;
    header.isToClaimant = false;
    return {ForwardToHop{header}, std::nullopt, false};
}

/// Appends \a hop to \a chain unless the chain is full or contains its instance.
static void appendIfAbsent(Routing::Chain &chain, const Routing::Hop &hop)
{
    const bool isIncluded = std::any_of(chain.begin(), chain.end(), [&](const Routing::Hop &other) {
        return other.instance == hop.instance;
    });
    if (!isIncluded && chain.size() < Routing::MaxChainLength)
        chain.append(hop);
}

void FlowDirector::onTableChanged(const Routing::ServiceTable &table)
{
    alive_.clear();
    std::set<Model::InstanceId> known;
    for (const Model::Instance &instance : table.instances()) {
        known.insert(Model::instanceId(instance.name));
        if (instance.state != Model::InstanceState::Suspect)
            alive_[Model::instanceId(instance.name)] = instance.incarnation;
    }
    for (const Model::InstanceId instance : listed_)
        removed_.insert(instance);
    for (const Model::InstanceId instance : known)
        removed_.erase(instance);
    listed_ = std::move(known);
}

bool FlowDirector::isAlive(const Routing::Hop &hop) const
{
    const auto known = alive_.find(hop.instance);
    return known != alive_.end() && known->second == hop.incarnation;
}

/// Forwards the packet to the owner that \a redirect names. The rest of its chain is kept behind
/// the owner, so that an outdated redirect costs a detour instead of the flow. Claimants that are
/// not alive come last. Those that were removed from the table are left out, because a search must
/// not end at an instance that no longer exists.
Decision FlowDirector::forwardToOwner(const Tunnel::PacketHeader &header,
                                      const Redirect &redirect) const
{
    if (header.passes >= maxPasses(header))
        return drop(DropCause::TooManyPasses);
    Tunnel::PacketHeader forwarded = header;
    forwarded.chain = {};
    for (const Routing::Hop &hop : redirect.claimants) {
        if (isAlive(hop))
            appendIfAbsent(forwarded.chain, hop);
    }
    for (std::size_t next = header.position + 1u; next < header.chain.size(); ++next)
        appendIfAbsent(forwarded.chain, header.chain[next]);
    for (const Routing::Hop &hop : redirect.claimants) {
        if (!removed_.contains(hop.instance))
            appendIfAbsent(forwarded.chain, hop);
    }
    if (forwarded.chain.isEmpty())
        return drop(DropCause::NoOwner, header.findings);
    forwarded.position = 0;
    forwarded.isToClaimant =
        std::any_of(redirect.claimants.begin(), redirect.claimants.end(),
                    [&forwarded](const Routing::Hop &claimant) {
                        return claimant.instance == forwarded.chain[0].instance;
                    });
    ++forwarded.redirects;
    ++forwarded.passes;
    return {ForwardToHop{forwarded}, std::nullopt, false};
}

/// Returns whether \a packet acknowledges the last bytes of a closed flow, including its end.
static bool belongsToClosedFlow(const Tunnel::TcpPacket &packet, std::uint32_t endSequence)
{
    const std::uint32_t distance = endSequence + 1 - packet.acknowledgement;
    return packet.ack && !packet.syn && distance <= ClosedAckRange;
}

FlowDirector::FlowDirector(Routing::Hop self, Model::ServiceId service)
    : self_(self)
    , service_(service)
{}

Decision FlowDirector::onPacket(TimePoint now, Model::ServiceId service,
                                const Tunnel::PacketHeader &header, const Tunnel::TcpPacket &packet,
                                const Availability &availability)
{
    const Routing::Hop &receiver = header.chain[header.position];
    if (service != service_)
        return drop(DropCause::OtherService);
    if (receiver.instance != self_.instance)
        return drop(DropCause::OtherInstance);

    const bool isThisIncarnation = receiver.incarnation == self_.incarnation;
    if (isThisIncarnation) {
        if (auto decision = onOwnedFlow(now, header, packet))
            return *decision;
    }
    // A SYN does not follow a redirect, because it may open the next flow with the same key. If it
    // is only a late retransmission, the caller's ACK shows which of the answering agents owns the
    // flow.
    if (packet.opensFlow())
        return onNewFlow(now, header, packet, availability, isThisIncarnation);

    Tunnel::PacketHeader passedOn = header;
    const bool mayHoldFlow = mayHold(packet.flow);
    const bool isTried =
        mayHoldFlow && header.asksServers && header.findings.permitsTrial() && !awaitsHandover_;
    if (isTried)
        return {Deliver{}, std::nullopt, false};
    if (const Redirect *const known = usableRedirect(now, header, packet.flow)) {
        if (mayHoldFlow)
            passedOn.findings.add(Routing::SearchGap::ServerNotAsked);
        return forwardToOwner(passedOn, *known);
    }
    if (!mayHoldFlow)
        return forwardToNext(header, DropCause::NoOwner);
    // The sender knows that this agent claimed the flow, perhaps before its restart.
    if (header.isToClaimant)
        return {Deliver{}, std::nullopt, false};
    passedOn.findings.add(Routing::SearchGap::ServerNotAsked);
    return forwardToNext(passedOn, DropCause::NoOwner);
}

/// Whether the backend server may hold \a flow, which has no entry here.
bool FlowDirector::mayHold(const Model::FlowKey &flow) const
{
    return mayHoldUnknownFlows_ && !returned_.contains(flow);
}

/// Returns the redirect that a packet of \a flow follows next, or null if it follows none. Forgets
/// one of which all claimants are gone.
FlowDirector::Redirect *FlowDirector::usableRedirect(TimePoint now,
                                                     const Tunnel::PacketHeader &header,
                                                     const Model::FlowKey &flow)
{
    const auto known = redirects_.find(flow);
    if (known == redirects_.end() || header.redirects >= MaxRedirects)
        return nullptr;
    const auto &claimants = known->second.claimants;
    if (std::all_of(claimants.begin(), claimants.end(), [this](const Routing::Hop &claimant) {
            return removed_.contains(claimant.instance);
        })) {
        redirects_.erase(known);
        return nullptr;
    }
    known->second.lastUse = now;
    return &known->second;
}

Decision FlowDirector::onReturnedByBackend(TimePoint now, const Tunnel::PacketHeader &header,
                                           const Tunnel::TcpPacket &packet)
{
    onFlowRemoved(packet.flow);
    if (packet.opensFlow())
        return forwardToNext(header, DropCause::NoRoom);
    if (returned_.size() < MaxReturnedFlows)
        returned_[packet.flow] = now;
    if (const Redirect *const known = usableRedirect(now, header, packet.flow))
        return forwardToOwner(header, *known);
    return forwardToNext(header, DropCause::NoOwner);
}

bool FlowDirector::onPacketFromBackend(TimePoint now, const Model::FlowKey &flow)
{
    const auto entry = flows_.find(flow);
    if (entry != flows_.end()) {
        entry->second.lastUse = now;
        return false;
    }
    returned_.erase(flow);
    adopt(now, flow, Tunnel::Epoch(1));
    return true;
}

std::vector<Model::FlowKey> FlowDirector::forgetIdle(TimePoint limit)
{
    std::vector<Model::FlowKey> forgotten;
    for (const auto &[key, flow] : flows_) {
        if (flow.phase == Phase::Established && flow.lastUse < limit)
            forgotten.push_back(key);
    }
    for (const Model::FlowKey &key : forgotten)
        onFlowRemoved(key);
    return forgotten;
}

std::optional<Decision> FlowDirector::onOwnedFlow(TimePoint now, const Tunnel::PacketHeader &header,
                                                  const Tunnel::TcpPacket &packet)
{
    const auto entry = flows_.find(packet.flow);
    if (entry == flows_.end())
        return std::nullopt;
    Flow &flow = entry->second;
    flow.lastUse = now;
    switch (flow.phase) {
    case Phase::Established:
        return Decision{Deliver{}, noticeFor(now, header, packet.flow, flow), false};
    case Phase::Moving:
        return drop(DropCause::FlowMoving);
    case Phase::Closed:
        // Another agent may own the next flow with the same key.
        if (!belongsToClosedFlow(packet, flow.endSequence))
            return std::nullopt;
        return Decision{Deliver{}, std::nullopt, false};
    case Phase::HalfOpen:
        break;
    }

    if (packet.opensFlow())
        return Decision{Deliver{}, std::nullopt, false};
    const bool matches =
        flow.initialSequence && packet.ack && packet.acknowledgement == *flow.initialSequence + 1;
    // The packet belongs to a flow with the same key that another agent accepted.
    if (!matches)
        return std::nullopt;
    if (packet.rst) {
        forget(entry);
        return Decision{Drop{DropCause::NoOwner, {}}, std::nullopt, true};
    }
    flow.phase = Phase::Established;
    flow.epoch = Tunnel::Epoch(1);
    redirects_.erase(packet.flow);
    return Decision{Deliver{}, noticeFor(now, header, packet.flow, flow), false};
}

Decision FlowDirector::onNewFlow(TimePoint now, const Tunnel::PacketHeader &header,
                                 const Tunnel::TcpPacket &packet, const Availability &availability,
                                 bool isThisIncarnation)
{
    const bool isLast = std::size_t(header.position) + 1 >= header.chain.size();
    const bool accepts = isThisIncarnation && availability.isReady
                         && availability.isBelowConnectionLimit
                         && (availability.hasFreeSlot || isLast);
    // A known redirect may belong to the previous flow with the same key. The smallest epoch
    // lets any new claim take precedence over it.
    if (const auto known = redirects_.find(packet.flow); known != redirects_.end())
        known->second.epoch = {};
    if (!accepts)
        return forwardToNext(header, DropCause::NoRoom);

    returned_.erase(packet.flow);
    bool replacesEarlierFlow = false;
    if (const auto earlier = flows_.find(packet.flow); earlier != flows_.end()) {
        forget(earlier);
        replacesEarlierFlow = true;
    }
    Flow flow;
    flow.since = now;
    flow.lastUse = now;
    flows_[packet.flow] = flow;
    ++openCount_;
    return {Deliver{}, std::nullopt, replacesEarlierFlow};
}

std::optional<OwnershipNotice> FlowDirector::noticeFor(TimePoint now,
                                                       const Tunnel::PacketHeader &header,
                                                       const Model::FlowKey &key, Flow &flow)
{
    const Routing::Hop &first = header.chain[0];
    if (header.position == 0 || first.instance == self_.instance)
        return std::nullopt;
    if (flow.lastNotice != TimePoint() && now - flow.lastNotice < NoticeInterval)
        return std::nullopt;
    flow.lastNotice = now;
    return OwnershipNotice{first, {key, flow.epoch}};
}

void FlowDirector::forget(Flows::iterator flow)
{
    if (flow->second.phase != Phase::Closed)
        --openCount_;
    flows_.erase(flow);
}

void FlowDirector::onSynAckSent(const Model::FlowKey &flow, std::uint32_t initialSequence)
{
    if (auto entry = flows_.find(flow); entry != flows_.end())
        entry->second.initialSequence = initialSequence;
}

void FlowDirector::onClosed(TimePoint now, const Model::FlowKey &flow, std::uint32_t endSequence)
{
    const auto entry = flows_.find(flow);
    if (entry == flows_.end() || entry->second.phase == Phase::Closed)
        return;
    entry->second.phase = Phase::Closed;
    entry->second.endSequence = endSequence;
    entry->second.since = now;
    --openCount_;
}

void FlowDirector::onFlowRemoved(const Model::FlowKey &flow)
{
    if (const auto entry = flows_.find(flow); entry != flows_.end())
        forget(entry);
}

void FlowDirector::onRedirects(TimePoint now, const Routing::Hop &owner,
                               const std::vector<Tunnel::ClaimedFlow> &flows)
{
    if (owner.instance == self_.instance)
        return;
    for (const Tunnel::ClaimedFlow &flow : flows) {
        if (!owns(flow.key))
            addClaim(now, flow, owner);
    }
}

void FlowDirector::addClaim(TimePoint now, const Tunnel::ClaimedFlow &flow,
                            const Routing::Hop &owner)
{
    Redirect &known = redirects_[flow.key];
    Routing::Chain claimants;
    // A claim with a smaller epoch may still be right, because the previous flow with the same key
    // may have moved more often. Its agent is tried second.
    const bool isNewest = flow.epoch >= known.epoch || known.claimants.isEmpty();
    if (!isNewest)
        claimants.append(known.claimants[0]);
    appendIfAbsent(claimants, owner);
    for (const Routing::Hop &hop : known.claimants)
        appendIfAbsent(claimants, hop);
    known.claimants = claimants;
    known.epoch = std::max(known.epoch, flow.epoch);
    known.lastUse = now;
}

void FlowDirector::beginMove(const Model::FlowKey &flow)
{
    if (auto entry = flows_.find(flow); entry != flows_.end())
        entry->second.phase = Phase::Moving;
}

void FlowDirector::cancelMove(const Model::FlowKey &flow)
{
    if (auto entry = flows_.find(flow); entry != flows_.end())
        entry->second.phase = Phase::Established;
}

void FlowDirector::completeMove(TimePoint now, const Model::FlowKey &flow,
                                const Routing::Hop &owner)
{
    const Tunnel::Epoch epoch = epochAfterMove(flow);
    onFlowRemoved(flow);
    addClaim(now, {flow, epoch}, owner);
}

Tunnel::Epoch FlowDirector::epochAfterMove(const Model::FlowKey &flow) const
{
    const auto entry = flows_.find(flow);
    const Tunnel::Epoch epoch = entry == flows_.end() ? Tunnel::Epoch{} : entry->second.epoch;
    return Tunnel::Epoch(std::uint32_t(epoch) + 1);
}

void FlowDirector::adopt(TimePoint now, const Model::FlowKey &flow, Tunnel::Epoch epoch)
{
    onFlowRemoved(flow);
    redirects_.erase(flow);
    Flow adopted;
    adopted.phase = Phase::Established;
    adopted.epoch = epoch;
    adopted.since = now;
    adopted.lastUse = now;
    flows_[flow] = adopted;
    ++openCount_;
}

std::vector<Model::FlowKey> FlowDirector::expire(TimePoint now)
{
    std::vector<Model::FlowKey> halfOpen;
    std::erase_if(flows_, [&](const auto &entry) {
        const auto &[key, flow] = entry;
        if (flow.phase == Phase::Closed)
            return now - flow.since >= ClosedFlowLifetime;
        if (flow.phase != Phase::HalfOpen || now - flow.since < HalfOpenTimeout)
            return false;
        halfOpen.push_back(key);
        --openCount_;
        return true;
    });
    std::erase_if(redirects_, [now](const auto &entry) {
        return now - entry.second.lastUse >= RedirectLifetime;
    });
    std::erase_if(returned_,
                  [now](const auto &entry) { return now - entry.second >= ReturnedFlowLifetime; });
    return halfOpen;
}

std::optional<Routing::Hop> FlowDirector::firstOther(const Routing::ServiceTable &table,
                                                     const Model::FlowKey &flow) const
{
    for (const Routing::Hop &hop :
         table.chainFor(Model::flowHash(flow), Routing::PacketKind::ContinuesFlow)) {
        if (hop.instance != self_.instance)
            return hop;
    }
    return std::nullopt;
}

std::vector<std::pair<Routing::Hop, std::vector<Tunnel::ClaimedFlow>>>
FlowDirector::ownershipNotices(const Routing::ServiceTable &table) const
{
    std::map<Model::InstanceId, std::pair<Routing::Hop, std::vector<Tunnel::ClaimedFlow>>>
        byReceiver;
    for (const auto &[key, flow] : flows_) {
        const bool isClaimed = flow.phase == Phase::Established
                               || (flow.phase == Phase::HalfOpen && flow.initialSequence);
        if (!isClaimed)
            continue;
        const auto first = firstOther(table, key);
        if (!first)
            continue;
        auto &[receiver, flows] = byReceiver[first->instance];
        receiver = *first;
        flows.push_back({key, flow.epoch});
    }
    std::vector<std::pair<Routing::Hop, std::vector<Tunnel::ClaimedFlow>>> notices;
    notices.reserve(byReceiver.size());
    for (auto &[id, notice] : byReceiver)
        notices.push_back(std::move(notice));
    return notices;
}

bool FlowDirector::owns(const Model::FlowKey &flow) const
{
    const auto entry = flows_.find(flow);
    return entry != flows_.end()
           && (entry->second.phase == Phase::Established || entry->second.phase == Phase::Moving);
}

bool FlowDirector::mayOwn(const Model::FlowKey &flow) const
{
    const auto entry = flows_.find(flow);
    if (entry == flows_.end())
        return false;
    const bool isAnswered =
        entry->second.phase == Phase::HalfOpen && entry->second.initialSequence.has_value();
    return isAnswered || owns(flow);
}

std::vector<Model::FlowKey> FlowDirector::possiblyOwnedFlows() const
{
    std::vector<Model::FlowKey> flows;
    for (const auto &[key, flow] : flows_) {
        if (mayOwn(key))
            flows.push_back(key);
    }
    return flows;
}

std::vector<Model::FlowKey> FlowDirector::ownedFlows() const
{
    std::vector<Model::FlowKey> owned;
    for (const auto &[key, flow] : flows_) {
        if (flow.phase == Phase::Established)
            owned.push_back(key);
    }
    return owned;
}

} // namespace Flows
