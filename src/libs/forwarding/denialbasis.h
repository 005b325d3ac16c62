#pragma once

#include "membership/roster.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace Forwarding {

/// What the process that decided a reset knew then, for the log.
struct DenialBasis
{
    std::chrono::milliseconds uptime{0};    ///< time since the start of that process
    std::chrono::milliseconds rosterAge{0}; ///< time since its roster changed last
    std::size_t agents = 0;                 ///< in its roster
    Tunnel::RosterScope scope = Tunnel::RosterScope::Reported;
    std::uint64_t heartbeat = 0; ///< number of its server's latest heartbeat; 0 for a balancer
};

/// Returns the basis at \a now of a process that started at \a started and has \a roster, which
/// changed last at \a lastChange, if ever. \a heartbeat is the number of its server's latest
/// heartbeat, or 0. Thread-safe.
DenialBasis denialBasis(std::chrono::steady_clock::time_point now,
                        std::chrono::steady_clock::time_point started,
                        std::optional<std::chrono::steady_clock::time_point> lastChange,
                        const Membership::Roster &roster, std::uint64_t heartbeat);

} // namespace Forwarding
