#include "forwarding/flowsearch.h"

#include <algorithm>

namespace Forwarding {

FlowSearch::FlowSearch(Routing::Hop self)
    : self_(self.instance)
    , selfHop_(self)
{}

void FlowSearch::setPeers(const Routing::ServiceTable &table)
{
    peers_.clear();
    for (const Model::Instance &instance : table.instances()) {
        const Model::InstanceId id = Model::instanceId(instance.name);
        if (id != self_)
            peers_[id] = {id, instance.incarnation, instance.tunnel};
    }
    for (auto &[flow, search] : searches_)
        std::erase_if(search.probed, [this](const auto &id) { return !peers_.contains(id); });
}

bool FlowSearch::hold(TimePoint now, const Tunnel::PacketHeader &header,
                      const Tunnel::TcpPacket &packet)
{
    const auto known = searches_.find(packet.flow);
    if (known == searches_.end() && searches_.size() >= MaxSearchedFlows)
        return false;
    Search &search = searches_[packet.flow];
    search.held = {header, packet};
    search.since = now;
    return true;
}

void FlowSearch::onProbeAnswer(const Tunnel::FlowAnswer &answer)
{
    const Model::InstanceId peer = answer.answerer.instance;
    for (const Tunnel::ClaimedFlow &flow : answer.denied) {
        if (const auto search = searches_.find(flow.key); search != searches_.end()) {
            search->second.probed.erase(peer);
            search->second.denied.insert(peer);
        }
    }
    for (const Tunnel::ClaimedFlow &flow : answer.owned) {
        if (const auto search = searches_.find(flow.key); search != searches_.end()) {
            search->second.owner = answer.answerer;
            search->second.isDelivered = true;
        }
    }
}

void FlowSearch::onAnswer(const Tunnel::FlowAnswer &answer)
{
    const Model::InstanceId peer = answer.answerer.instance;
    if (!peers_.contains(peer))
        return;
    if (answer.number == 0)
        return onProbeAnswer(answer);
    const auto query = queries_.find(answer.number);
    if (query == queries_.end())
        return;
    for (const Model::FlowKey &flow : query->second.flows) {
        const auto search = searches_.find(flow);
        if (search == searches_.end())
            continue;
        const bool isOwner =
            std::any_of(answer.owned.begin(), answer.owned.end(),
                        [&flow](const Tunnel::ClaimedFlow &owned) { return owned.key == flow; });
        if (isOwner)
            search->second.owner = answer.answerer;
        else if (!answer.mayHoldUnknownFlows)
            search->second.denied.insert(peer);
        else if (!search->second.denied.contains(peer)) {
            // A probe that was not answered since the query before counts as lost.
            search->second.probed.erase(peer);
            search->second.unsure.insert(peer);
        }
    }
    queries_.erase(query);
}

std::vector<Outgoing> FlowSearch::queries(TimePoint now, Model::ServiceId service)
{
    std::vector<Outgoing> outgoing;
    std::erase_if(queries_,
                  [now](const auto &query) { return now - query.second.since >= SearchTime; });
    const bool hasBacklog = std::any_of(searches_.begin(), searches_.end(),
                                        [](const auto &entry) { return entry.second.wasAsked; });
    if (searches_.empty() || (hasBacklog && now - lastRound_ < QueryInterval))
        return outgoing;
    lastRound_ = now;
    for (const auto &[id, peer] : peers_) {
        std::vector<Model::FlowKey> open;
        for (const auto &[flow, search] : searches_) {
            if (!search.denied.contains(id) && !search.unsure.contains(id))
                open.push_back(flow);
        }
        for (std::size_t first = 0; first < open.size(); first += Tunnel::MaxFlowsPerRedirects) {
            const auto count = std::min(Tunnel::MaxFlowsPerRedirects, open.size() - first);
            const auto begin = open.begin() + std::ptrdiff_t(first);
            Tunnel::FlowQuery query{
                selfHop_, ++queryNumber_, {begin, begin + std::ptrdiff_t(count)}};
            queries_[query.number] = {now, query.flows};
            outgoing.push_back({peer.tunnel, {service, {}, std::move(query)}});
        }
    }
    for (auto &[flow, search] : searches_)
        search.wasAsked = true;
    return outgoing;
}

std::vector<FlowSearch::Found> FlowSearch::takeFound()
{
    std::vector<Found> found;
    std::erase_if(searches_, [&found](const auto &entry) {
        const Search &search = entry.second;
        if (search.owner)
            found.push_back({search.held, *search.owner, search.isDelivered});
        return search.owner.has_value();
    });
    return found;
}

std::vector<std::pair<FlowSearch::HeldPacket, Routing::Hop>> FlowSearch::takeProbes()
{
    std::vector<std::pair<HeldPacket, Routing::Hop>> probes;
    for (auto &[flow, search] : searches_) {
        while (!search.unsure.empty() && search.probed.size() < MaxProbesUnderWay) {
            const Model::InstanceId id = *search.unsure.begin();
            search.unsure.erase(search.unsure.begin());
            const auto peer = peers_.find(id);
            if (peer == peers_.end())
                continue;
            search.probed.insert(id);
            probes.emplace_back(search.held, peer->second);
        }
    }
    return probes;
}

std::vector<FlowSearch::HeldPacket> FlowSearch::takeDenied()
{
    std::vector<HeldPacket> denied;
    std::erase_if(searches_, [&](const auto &entry) {
        const Search &search = entry.second;
        const bool isDenied =
            std::all_of(peers_.begin(), peers_.end(), [&search](const auto &peer) {
                return search.denied.contains(peer.first);
            });
        if (isDenied)
            denied.push_back(search.held);
        return isDenied;
    });
    return denied;
}

std::vector<FlowSearch::Unfound> FlowSearch::expire(TimePoint now)
{
    std::vector<Unfound> expired;
    std::erase_if(searches_, [&](const auto &entry) {
        const auto &[flow, search] = entry;
        if (now - search.since < SearchTime)
            return false;
        const auto missing = std::find_if(peers_.begin(), peers_.end(), [&](const auto &peer) {
            return !search.denied.contains(peer.first);
        });
        expired.push_back({flow, search.denied.size(), peers_.size(),
                           missing == peers_.end() ? Model::Endpoint()
                                                   : missing->second.tunnel});
        return true;
    });
    return expired;
}

} // namespace Forwarding
