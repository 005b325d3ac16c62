#include "forwarding/flowsearch.h"

#include <algorithm>

namespace Forwarding {

FlowSearch::FlowSearch(Routing::Hop self)
    : self_(self.instance)
    , selfHop_(self)
{}

void FlowSearch::setPeers(const Routing::ServiceTable &table)
{
    std::map<Model::InstanceId, Peer> peers;
    for (const Model::Instance &instance : table.instances()) {
        const Model::InstanceId id = Model::instanceId(instance.name);
        if (id == self_)
            continue;
        Peer &peer = peers[id];
        if (const auto known = peers_.find(id); known != peers_.end())
            peer = known->second;
        peer.hop = {id, instance.incarnation, instance.tunnel};
        peer.isSuspect = instance.state == Model::InstanceState::Suspect;
    }
    peers_ = std::move(peers);
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

void FlowSearch::onAnswer(const Tunnel::FlowAnswer &answer)
{
    const auto query = queries_.find(answer.number);
    if (query == queries_.end() || !peers_.contains(answer.answerer.instance))
        return;
    for (const Model::FlowKey &flow : query->second.flows) {
        const auto search = searches_.find(flow);
        if (search == searches_.end())
            continue;
        const bool isOwner =
            std::any_of(answer.owned.begin(), answer.owned.end(),
                        [&flow](const Tunnel::ClaimedFlow &owned) { return owned.key == flow; });
        if (isOwner)
            search->second.owners.push_back(answer.answerer);
        else if (answer.mayHoldUnknownFlows)
            search->second.unsure.insert(answer.answerer.instance);
        else
            search->second.denied.insert(answer.answerer.instance);
    }
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
            outgoing.push_back({peer.hop.tunnel, {service, {}, std::move(query)}});
        }
    }
    for (auto &[flow, search] : searches_)
        search.wasAsked = true;
    return outgoing;
}

template<typename F>
std::vector<FlowSearch::HeldPacket> FlowSearch::take(F isOver)
{
    std::vector<HeldPacket> taken;
    for (auto entry = searches_.begin(); entry != searches_.end();) {
        if (!isOver(entry->second)) {
            ++entry;
            continue;
        }
        taken.push_back(entry->second.held);
        entry = searches_.erase(entry);
    }
    return taken;
}

std::vector<std::pair<FlowSearch::HeldPacket, Routing::Hop>> FlowSearch::takeFound()
{
    std::vector<std::pair<HeldPacket, Routing::Hop>> found;
    for (auto entry = searches_.begin(); entry != searches_.end();) {
        if (entry->second.owners.empty()) {
            ++entry;
            continue;
        }
        found.emplace_back(entry->second.held, entry->second.owners.front());
        entry = searches_.erase(entry);
    }
    return found;
}

std::vector<FlowSearch::HeldPacket> FlowSearch::takeUnsure()
{
    return take([this](const Search &search) {
        if (search.unsure.empty())
            return false;
        return std::all_of(peers_.begin(), peers_.end(), [&search](const auto &peer) {
            return peer.second.isSuspect || search.denied.contains(peer.first)
                   || search.unsure.contains(peer.first);
        });
    });
}

std::vector<FlowSearch::HeldPacket> FlowSearch::takeDenied()
{
    return take([this](const Search &search) {
        return std::all_of(peers_.begin(), peers_.end(), [&search](const auto &peer) {
            return search.denied.contains(peer.first);
        });
    });
}

std::vector<Model::FlowKey> FlowSearch::expire(TimePoint now)
{
    std::vector<Model::FlowKey> expired;
    std::erase_if(searches_, [&](const auto &entry) {
        const bool isOver = now - entry.second.since >= SearchTime;
        if (isOver)
            expired.push_back(entry.first);
        return isOver;
    });
    return expired;
}

} // namespace Forwarding
