#include "flows/ownersearch.h"

#include <algorithm>
#include <iterator>

namespace Flows {

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
            return SearchEnded{true};
        ++next;
    }
    Tunnel::PacketHeader forwarded = header;
    forwarded.originContinues = true;
    forwarded.position = 0;
    forwarded.redirects = 0;
    forwarded.ranksBefore = 0;
    forwarded.passes = asked ? 1 : 0;
    for (; next != owners.end(); ++next) {
        const Routing::ServiceTable &service = **next;
        forwarded.chain = service.runningChainFor(flowHash, Routing::PacketKind::ContinuesFlow);
        if (forwarded.chain.isEmpty()) {
            forwarded.isUncertain |= !service.suspectInstances().empty();
            continue;
        }
        if (forwarded.servicesAsked >= MaxSearchedServices)
            return SearchEnded{true};
        ++forwarded.servicesAsked;
        return AskService{service.id(), forwarded};
    }
    return SearchEnded{forwarded.isUncertain};
}

} // namespace Flows
