#include "flows/handover.h"

#include "routing/hash.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Flows {

std::vector<Tunnel::FlowHandover> handoverParts(const Tunnel::FlowHandover &handover,
                                                const std::vector<Model::FlowKey> &flows)
{
    const std::size_t needed = std::max<std::size_t>(
        1, (flows.size() + Tunnel::MaxFlowsPerRedirects - 1) / Tunnel::MaxFlowsPerRedirects);
    const std::size_t count = std::min<std::size_t>(needed, Tunnel::MaxHandoverParts);
    std::vector<Tunnel::FlowHandover> parts;
    parts.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        const std::size_t first = index * Tunnel::MaxFlowsPerRedirects;
        const std::size_t last = std::min(flows.size(), first + Tunnel::MaxFlowsPerRedirects);
        Tunnel::FlowHandover part = handover;
        part.knowsAllFlows &= count == needed;
        part.part = std::uint16_t(index);
        part.partCount = std::uint16_t(count);
        part.flows.assign(flows.begin() + std::ptrdiff_t(first),
                          flows.begin() + std::ptrdiff_t(last));
        parts.push_back(std::move(part));
    }
    return parts;
}

std::vector<Routing::Hop> keepersOf(Model::InstanceId agent, Model::Incarnation incarnation,
                                    std::vector<Peer> peers)
{
    const auto rank = [&](const Peer &peer) {
        return std::pair(peer.isSuspect,
                         Routing::mixedHash(std::uint64_t(peer.hop.instance) ^ std::uint64_t(agent)
                                            ^ Routing::mixedHash(std::uint64_t(incarnation))));
    };
    std::sort(peers.begin(), peers.end(),
              [&rank](const Peer &left, const Peer &right) { return rank(left) < rank(right); });
    std::vector<Routing::Hop> keepers;
    for (std::size_t index = 0; index < std::min(peers.size(), MaxKeepers); ++index)
        keepers.push_back(peers[index].hop);
    return keepers;
}

void HandoverKeeper::onPart(TimePoint now, const Tunnel::FlowHandover &part)
{
    const auto known = kept_.find(part.agent);
    if (known == kept_.end() && kept_.size() >= MaxKeptHandovers)
        return;
    Kept &kept = kept_[part.agent];
    if (known == kept_.end() || kept.incarnation != part.incarnation)
        kept = {part.incarnation, {}, std::nullopt, now};
    kept.parts[part.part] = part;
}

void HandoverKeeper::onProcessSeen(Model::InstanceId agent, Model::Incarnation incarnation)
{
    const auto known = kept_.find(agent);
    if (known == kept_.end() || known->second.incarnation == incarnation)
        return;
    if (!known->second.successor)
        known->second.successor = incarnation;
}

std::vector<Tunnel::FlowHandover> HandoverKeeper::answer(TimePoint now,
                                                         const Tunnel::HandoverRequest &request)
{
    expire(now);
    const Model::InstanceId agent = request.requester.instance;
    const Model::Incarnation incarnation = request.requester.incarnation;
    onProcessSeen(agent, incarnation);
    Tunnel::FlowHandover none;
    none.agent = agent;
    const auto known = kept_.find(agent);
    if (known == kept_.end())
        return {none};
    const Kept &kept = known->second;
    if (kept.successor != incarnation) {
        none.successor = *kept.successor;
        return {none};
    }
    std::vector<Tunnel::FlowHandover> parts;
    parts.reserve(kept.parts.size());
    for (const auto &[number, part] : kept.parts)
        parts.push_back(part);
    // An incomplete handover can't be told from one whose other parts are on their way.
    return parts.size() == parts.front().partCount ? parts : std::vector{none};
}

void HandoverKeeper::expire(TimePoint now)
{
    std::erase_if(
        kept_, [now](const auto &entry) { return now - entry.second.since >= HandoverLifetime; });
}

std::vector<Routing::Hop> Takeover::peersToAsk(TimePoint now, const std::vector<Peer> &peers)
{
    std::vector<Routing::Hop> due;
    if (!isPending_)
        return due;
    hasAsked_ = true;
    for (const auto &[hop, isSuspect] : peers) {
        if (hasAnswered(hop.instance))
            continue;
        const auto [asked, isNew] = asked_.try_emplace(hop.instance, Asked{now, now});
        if (!isNew && now - asked->second.last < HandoverRetryDelay)
            continue;
        asked->second.last = now;
        due.push_back(hop);
    }
    return due;
}

/// Whether \a peer answered, or is not waited for any longer.
bool Takeover::isSettled(TimePoint now, const Peer &peer) const
{
    if (hasAnswered(peer.hop.instance))
        return true;
    const auto asked = asked_.find(peer.hop.instance);
    return peer.isSuspect && asked != asked_.end()
           && now - asked->second.first >= SuspectAnswerTimeout;
}

std::vector<Model::FlowKey> Takeover::onPart(const Tunnel::FlowHandover &part)
{
    std::vector<Model::FlowKey> flows;
    if (!isPending_ || hasAnswered(part.sender))
        return flows;
    if (part.successor != Model::Incarnation{} && part.successor != incarnation_)
        successors_.insert(part.successor);
    if (part.partCount == 0) {
        answered_.insert(part.sender);
        return flows;
    }
    Parts &parts = answers_[part.sender];
    parts[part.part] = part;
    if (parts.size() < part.partCount)
        return flows;
    answered_.insert(part.sender);
    for (const auto &[number, complete] : parts)
        flows.insert(flows.end(), complete.flows.begin(), complete.flows.end());
    return flows;
}

/// Returns the complete answer of the process that stopped last: several may have stopped within
/// HandoverLifetime. Null if there is none.
const Takeover::Parts *Takeover::latestAnswer() const
{
    const Parts *latest = nullptr;
    for (const auto &[peer, parts] : answers_) {
        const bool isLater =
            !latest || parts.begin()->second.incarnation > latest->begin()->second.incarnation;
        if (hasAnswered(peer) && isLater)
            latest = &parts;
    }
    return latest;
}

std::optional<std::int64_t> Takeover::serverStartTimeMs() const
{
    const Parts *const latest = latestAnswer();
    if (!latest)
        return std::nullopt;
    return latest->begin()->second.serverStartTimeMs;
}

std::optional<TakeoverOutcome> Takeover::finish(TimePoint now, const std::vector<Peer> &peers)
{
    const bool areAllSettled = std::all_of(peers.begin(), peers.end(),
                                           [&](const Peer &peer) { return isSettled(now, peer); });
    if (!isPending_ || (!areAllSettled && now - started_ < HandoverTimeout))
        return std::nullopt;
    isPending_ = false;
    TakeoverOutcome outcome;
    outcome.answers = answered_.size();
    outcome.duration = std::chrono::duration_cast<std::chrono::milliseconds>(now - started_);
    if (const Parts *const latest = latestAnswer()) {
        const Tunnel::FlowHandover &first = latest->begin()->second;
        // A process that ran since may have accepted flows that it handed over to nobody.
        const bool isLatest = std::all_of(
            successors_.begin(), successors_.end(),
            [&first](Model::Incarnation successor) { return successor == first.incarnation; });
        outcome.isComplete = first.knowsAllFlows && areAllSettled && isLatest;
        for (const auto &[number, part] : *latest)
            outcome.flows += part.flows.size();
    }
    return outcome;
}

} // namespace Flows
