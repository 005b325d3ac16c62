#include "routing/searchfindings.h"

namespace Routing {

static const char *gapText(SearchGap gap)
{
    switch (gap) {
    case SearchGap::ServerNotAsked:
        return "server-not-asked";
    case SearchGap::AgentAway:
        return "agent-away";
    case SearchGap::AgentUnheard:
        return "agent-unheard";
    case SearchGap::MembersUnknown:
        return "members-unknown";
    case SearchGap::MembersUnsettled:
        return "members-unsettled";
    case SearchGap::ServicesUnknown:
        return "services-unknown";
    }
    return "unknown";
}

std::string findingsText(const SearchFindings &findings)
{
    std::string text;
    for (std::size_t index = 0; index < SearchGapCount; ++index) {
        const auto gap = SearchGap(index);
        if (!findings.has(gap))
            continue;
        if (!text.empty())
            text += ',';
        text += gapText(gap);
    }
    return text.empty() ? "none" : text;
}

} // namespace Routing
