#include "flows/ownersearch.h"

#include "flows/flowdirector.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Flows {

static SearchEnded endedWith(const Tunnel::PacketHeader &header, Routing::SearchGap gap)
{
    SearchEnded ended{header.findings};
    ended.findings.add(gap);
    return ended;
}

SearchStep askNextService(const std::vector<const Routing::ServiceTable *> &owners,
                          std::uint64_t flowHash, const Tunnel::PacketHeader &header,
                          std::optional<Model::ServiceId> asked)
{
    auto next = owners.begin();
    if (asked) {
        next = std::find_if(owners.begin(), owners.end(),
                            [asked](const auto *service) { return service->id() == *asked; });
        // The services changed during the search, so that some may have been left out.
        if (next == owners.end())
            return endedWith(header, Routing::SearchGap::ServicesUnknown);
        ++next;
    }
    Tunnel::PacketHeader forwarded = header;
    forwarded.originContinues = true;
    forwarded.position = 0;
    forwarded.redirects = 0;
    forwarded.searched = {};
    forwarded.isToClaimant = false;
    forwarded.passes = asked ? 1 : 0;
    for (; next != owners.end(); ++next) {
        const Routing::ServiceTable &service = **next;
        forwarded.chain = service.runningChainFor(flowHash, Routing::PacketKind::ContinuesFlow);
        if (forwarded.chain.isEmpty()) {
            if (!service.suspectInstances().empty())
                forwarded.findings.add(Routing::SearchGap::AgentAway);
            continue;
        }
        if (forwarded.servicesAsked >= MaxSearchedServices)
            return endedWith(forwarded, Routing::SearchGap::ServicesUnknown);
        ++forwarded.servicesAsked;
        return AskService{service.id(), forwarded};
    }
    return SearchEnded{forwarded.findings};
}

std::optional<AskService> askSuspect(const std::vector<const Routing::ServiceTable *> &owners,
                                     const Tunnel::PacketHeader &header, std::size_t turn)
{
    std::vector<std::pair<Model::ServiceId, Routing::Hop>> suspects;
    for (const Routing::ServiceTable *const owner : owners) {
        for (const Routing::Hop &hop : owner->suspectInstances())
            suspects.emplace_back(owner->id(), hop);
    }
    if (suspects.empty())
        return std::nullopt;
    const auto &[service, hop] = suspects[turn % suspects.size()];
    AskService step{service, header};
    step.header.chain = {};
    step.header.chain.append(hop);
    step.header.position = 0;
    step.header.passes = 1;
    step.header.originContinues = false;
    step.header.originSearches = true;
    step.header.asksServers = true;
    return step;
}

std::optional<Tunnel::PacketHeader> continueSearch(const Routing::ServiceTable &table,
                                                   const Tunnel::PacketHeader &header,
                                                   const Model::FlowKey &flow,
                                                   bool includesSuspects)
{
    if (header.passes >= MaxSearchPasses)
        return std::nullopt;
    const auto [chain, next] =
        table.chainAfter(Model::flowHash(flow), header.chain, header.searched, includesSuspects);
    if (chain.isEmpty())
        return std::nullopt;
    Tunnel::PacketHeader forwarded = header;
    forwarded.chain = chain;
    forwarded.position = 0;
    forwarded.searched = next;
    forwarded.isToClaimant = false;
    ++forwarded.passes;
    return forwarded;
}

std::optional<Tunnel::PacketHeader> searchAtServers(const Routing::ServiceTable &table,
                                                    const Tunnel::PacketHeader &header,
                                                    const Model::FlowKey &flow)
{
    Tunnel::PacketHeader begun = header;
    begun.chain = table.runningChainFor(Model::flowHash(flow), Routing::PacketKind::ContinuesFlow);
    if (begun.chain.isEmpty())
        return std::nullopt;
    begun.position = 0;
    begun.passes = 1;
    begun.redirects = 0;
    begun.searched = {};
    begun.findings = header.findings.withoutUnaskedServers();
    begun.asksServers = true;
    begun.isToClaimant = false;
    return begun;
}

} // namespace Flows
