#pragma once

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <string>

namespace Routing {

/// Why a search for the owner of a flow can't exclude that somebody owns it.
enum class SearchGap : std::uint8_t {
    /// An agent whose backend server may hold the flow was visited, but did not ask the server.
    ServerNotAsked,
    /// An agent that may own the flow restarts or does not report, so that it can't be asked.
    AgentAway,
    /// The same, but nothing that ran before has reported since: the whole system may have
    /// restarted.
    AgentUnheard,
    /// A process that was visited started too recently to know which agents there are.
    MembersUnknown,
    /// The members that a process knows changed too recently to include every owner.
    MembersUnsettled,
    /// Services that may own the flow were not asked.
    ServicesUnknown,
};

constexpr std::size_t SearchGapCount = 6;

/// What may be done with a packet of a flow for which no owner was found.
enum class SearchConclusion {
    Reset,      ///< everyone who may own the flow denied it
    AskServers, ///< search again, and let the agents that don't know all flows ask their servers
    AskAway,    ///< send the packet to an agent that is away, since it may run after all
    Wait,       ///< stay silent: the caller retransmits, and a later search may know more
};

/// What the processes that a packet visited found out about the owner of its flow. Each of them
/// denied the flow for certain, or left a gap. A packet carries the findings along its path.
///
/// An agent denies a flow for certain if its backend server returned the packet, or if it knows all
/// flows of the server. Everything else is a gap, whatever the reason: an agent that was not asked
/// has denied nothing. Copies are independent; not thread-safe.
class SearchFindings
{
public:
    constexpr SearchFindings() = default;
    constexpr SearchFindings(std::initializer_list<SearchGap> gaps)
    {
        for (const SearchGap gap : gaps)
            add(gap);
    }

    constexpr void add(SearchGap gap) { gaps_ = std::uint8_t(gaps_ | bit(gap)); }
    constexpr bool has(SearchGap gap) const { return (gaps_ & bit(gap)) != 0; }

    /// Adds what \a other found out elsewhere.
    constexpr void merge(const SearchFindings &other) { gaps_ = std::uint8_t(gaps_ | other.gaps_); }

    /// Whether a packet may be delivered to a backend server that may not hold its flow. While the
    /// owner may be out of reach, each such delivery can only reach a wrong server.
    constexpr bool permitsTrial() const
    {
        return !has(SearchGap::ServerNotAsked) && !has(SearchGap::AgentAway)
               && !has(SearchGap::MembersUnknown);
    }

    /// Returns the findings with which the servers are asked, given those of the search before: its
    /// agents are all visited again.
    constexpr SearchFindings withoutUnaskedServers() const
    {
        return fromBits(std::uint8_t(gaps_ & ~bit(SearchGap::ServerNotAsked)));
    }

    /// Returns what may be done at the end of the search. \a wereServersAsked is whether the agents
    /// that were visited asked their servers.
    ///
    /// Servers are asked in a second search, unless the balancer knew every agent to be present:
    /// before the first one ended, an agent that may own the flow and can't be reached may be known
    /// only to a process that was not visited yet.
    constexpr SearchConclusion conclusion(bool wereServersAsked) const
    {
        if (gaps_ == 0)
            return SearchConclusion::Reset;
        if (!wereServersAsked && has(SearchGap::ServerNotAsked)
            && withoutUnaskedServers().permitsTrial())
            return SearchConclusion::AskServers;
        return has(SearchGap::AgentAway) || has(SearchGap::AgentUnheard) ? SearchConclusion::AskAway
                                                                         : SearchConclusion::Wait;
    }

    /// Returns the gaps as bits, and findings with the gaps \a bits; unknown bits are kept, since a
    /// process of a later version may know more gaps.
    constexpr std::uint8_t bits() const { return gaps_; }
    static constexpr SearchFindings fromBits(std::uint8_t bits)
    {
        SearchFindings findings;
        findings.gaps_ = bits;
        return findings;
    }

    bool operator==(const SearchFindings &) const = default;

private:
    static constexpr unsigned bit(SearchGap gap) { return 1u << unsigned(gap); }

    std::uint8_t gaps_ = 0;
};

/// Returns the names of the gaps in \a findings for logs, separated by commas; "none" if there are
/// none. Thread-safe.
std::string findingsText(const SearchFindings &findings);

} // namespace Routing
