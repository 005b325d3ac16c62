#include "forwarding/denialbasis.h"

namespace Forwarding {

DenialBasis denialBasis(std::chrono::steady_clock::time_point now,
                        std::chrono::steady_clock::time_point started,
                        std::optional<std::chrono::steady_clock::time_point> lastChange,
                        const Membership::Roster &roster, std::uint64_t heartbeat)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    return {duration_cast<milliseconds>(now - started),
            duration_cast<milliseconds>(now - lastChange.value_or(started)), roster.agents().size(),
            roster.scope(now), heartbeat};
}

} // namespace Forwarding
