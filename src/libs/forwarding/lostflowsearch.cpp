#include "forwarding/lostflowsearch.h"

#include <algorithm>
#include <map>

namespace Forwarding {

LostFlowSearch::Member &LostFlowSearch::memberOf(Model::InstanceId instance,
                                                 Model::ServiceId service, bool isAgent)
{
    if (isAgent)
        agents_[service].insert(instance);
    Member &member = members_[instance];
    member.isAgent = isAgent;
    return member;
}

void LostFlowSearch::setDirectory(TimePoint now,
                                  const std::vector<Membership::DirectoryEntry> &directory,
                                  bool isComplete)
{
    directoryRead_ = now;
    isDirectoryComplete_ = isComplete;
    for (const auto &[name, tunnel, service, incarnation] : directory) {
        Member &member =
            memberOf(Model::instanceId(name), Model::serviceId(service), !service.empty());
        member.tunnel = tunnel;
        member.listed = incarnation;
        isSystemRunning_ |= member.listed == member.reported;
    }
}

void LostFlowSearch::onReport(TimePoint now, const Tunnel::Report &report)
{
    if (!isStarting(now))
        return;
    const Model::Instance &sender = report.sender.instance;
    Member &member = memberOf(Model::instanceId(sender.name), Model::serviceId(sender.service),
                              report.sender.role == Tunnel::Role::Agent);
    member.tunnel = sender.tunnel;
    member.reported = sender.incarnation;
    member.mayHoldUnknownFlows = report.mayHoldUnknownFlows;
    member.hasOlderServer = report.hasOlderServer;
    isSystemRunning_ |= member.listed == member.reported;
}

/// Whether agents of \a service are known, are not too many, and each of those that reported knows
/// all its flows.
bool LostFlowSearch::canDecide(Model::ServiceId service) const
{
    const auto agents = agents_.find(service);
    if (agents == agents_.end() || agents->second.size() > MaxSearchedAgents)
        return false;
    return std::none_of(agents->second.begin(), agents->second.end(),
                        [this](auto agent) { return members_.at(agent).mayHoldUnknownFlows; });
}

bool LostFlowSearch::search(TimePoint now, const LostFlow &flow,
                            std::set<Model::ServiceId> services)
{
    if (!isStarting(now) || isSystemRunning_ || !directoryRead_)
        return false;
    const bool isDecidable = std::all_of(services.begin(), services.end(),
                                         [this](auto service) { return canDecide(service); });
    const bool isFull = searches_.size() >= MaxSearchedFlows && !searches_.contains(flow.flow);
    if (!isDecidable || isFull)
        return false;
    Search &search = searches_[flow.flow];
    search.flow = flow;
    search.services = std::move(services);
    search.latestPacket = now;
    return true;
}

void LostFlowSearch::onAnswer(Model::ServiceId service, const Tunnel::OwnerAnswer &answer)
{
    for (const Model::FlowKey &flow : answer.owned)
        searches_.erase(flow);
    const auto agents = agents_.find(service);
    const bool isKnown =
        agents != agents_.end() && agents->second.contains(answer.answerer.instance);
    if (!answer.knowsAllFlows || !isKnown)
        return;
    for (const Model::FlowKey &flow : answer.denied) {
        if (const auto search = searches_.find(flow); search != searches_.end())
            search->second.denials.insert(answer.answerer.instance);
    }
}

std::vector<OutgoingDatagram> LostFlowSearch::queries(TimePoint now, const Model::Endpoint &asker)
{
    if (!isStarting(now) || isSystemRunning_)
        searches_.clear();
    if (searches_.empty() || now - lastRound_ < QueryInterval)
        return {};
    lastRound_ = now;
    std::erase_if(searches_, [now](const auto &entry) {
        return now - entry.second.latestPacket >= SearchLifetime;
    });
    std::map<std::pair<Model::ServiceId, Model::InstanceId>, std::vector<Model::FlowKey>> due;
    for (auto &[flow, search] : searches_) {
        for (const Model::ServiceId service : search.services) {
            for (const Model::InstanceId agent : agents_[service]) {
                const auto asked = search.asked.find(agent);
                const bool isPending =
                    asked != search.asked.end() && now - asked->second < QueryRetryDelay;
                if (isPending || search.denials.contains(agent) || !members_[agent].reported)
                    continue;
                auto &flows = due[{service, agent}];
                if (flows.size() >= Tunnel::MaxFlowsPerRedirects)
                    continue;
                search.asked[agent] = now;
                flows.push_back(flow);
            }
        }
    }
    std::vector<OutgoingDatagram> outgoing;
    outgoing.reserve(due.size());
    for (auto &[receiver, flows] : due) {
        const auto &[service, agent] = receiver;
        outgoing.push_back(
            {members_[agent].tunnel, {service, {}, Tunnel::OwnerQuery{asker, std::move(flows)}}});
    }
    return outgoing;
}

/// Whether all listed members restarted. A listed balancer that still runs replies to the reports
/// of this one within the interval of reports, unless it can't be reached.
bool LostFlowSearch::isWholeRestart(TimePoint now) const
{
    if (!directoryRead_ || !isDirectoryComplete_ || isSystemRunning_ || !isStarting(now))
        return false;
    if (now - *directoryRead_ >= Membership::ReportInterval)
        return true;
    return std::all_of(members_.begin(), members_.end(), [](const auto &entry) {
        return entry.second.isAgent || entry.second.reported.has_value();
    });
}

/// Returns what the answers so far, and the members that are known, establish about the owner.
Routing::SearchFindings LostFlowSearch::findingsOf(TimePoint now, const Search &search) const
{
    Routing::SearchFindings findings;
    if (!isWholeRestart(now))
        findings.add(Routing::SearchGap::MembersUnknown);
    for (const Model::ServiceId service : search.services) {
        const auto agents = agents_.find(service);
        if (agents == agents_.end())
            findings.add(Routing::SearchGap::ServicesUnknown);
        else if (!std::includes(search.denials.begin(), search.denials.end(),
                                agents->second.begin(), agents->second.end()))
            findings.add(Routing::SearchGap::AgentUnheard);
    }
    return findings;
}

bool LostFlowSearch::isWholeLoss() const
{
    if (!directoryRead_ || !isDirectoryComplete_ || isSystemRunning_)
        return false;
    return std::none_of(members_.begin(), members_.end(), [](const auto &entry) {
        const Member &member = entry.second;
        return member.mayHoldUnknownFlows || member.hasOlderServer;
    });
}

std::set<Model::ServiceId> LostFlowSearch::services() const
{
    std::set<Model::ServiceId> services;
    for (const auto &[service, agents] : agents_)
        services.insert(service);
    return services;
}

std::vector<LostFlowSearch::DeniedFlow> LostFlowSearch::takeLost(TimePoint now)
{
    std::vector<DeniedFlow> lost;
    std::erase_if(searches_, [&](const auto &entry) {
        const bool isLost =
            findingsOf(now, entry.second).conclusion(true) == Routing::SearchConclusion::Reset;
        if (isLost)
            lost.push_back({entry.second.flow, entry.second.services});
        return isLost;
    });
    return lost;
}

} // namespace Forwarding
