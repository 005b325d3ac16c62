#pragma once

#include "model/identity.h"
#include "routing/routehistory.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Routing {

/// Finds out whether other configurations were in force between two that a balancer had in force
/// one after the other, if the store can't tell.
///
/// Flows are opened by balancers only, so that a configuration matters only if some balancer had it
/// in force. Each of them announces a configuration before it opens a flow under it, and reports
/// the one before. Performs no I/O and reads no clock. Not thread-safe.
class SuccessionCheck
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// \a memory is how long a balancer that is gone is remembered: as long as flows may be open
    /// that it opened. 0: for ever.
    explicit SuccessionCheck(std::chrono::seconds memory)
        : memory_(memory)
    {}

    /// Records that this process replaces the configuration \a previous by \a next; \a previous is
    /// 0 if \a next is its first one.
    void onConfiguration(TimePoint now, Model::Generation previous, Model::Generation next,
                         Succession succession);

    /// Records that \a balancer has the configuration \a generation in force, and had \a previous
    /// before; 0 if it had none since its start.
    void onReport(TimePoint now, const std::string &balancer, Model::Generation generation,
                  Model::Generation previous);

    /// Whether a listing waits for confirm().
    bool isPending() const { return unconfirmed_.has_value(); }

    /// Returns whether it just became certain that no balancer had another configuration in force
    /// in between. \a balancers are all that may run, without this process.
    bool confirm(TimePoint now, const std::vector<std::string> &balancers);

private:
    /// The configurations between which others may have been in force.
    struct Span
    {
        Model::Generation before{};
        Model::Generation after{};
    };

    struct Reported
    {
        Model::Generation generation{};
        TimePoint at;
    };

    bool isMissed(Model::Generation generation) const;
    void expire(TimePoint now);

    std::chrono::seconds memory_;
    std::optional<Span> unconfirmed_;
    std::map<Model::Generation, TimePoint> own_;   ///< in force here, and when last
    std::map<Model::Generation, TimePoint> heard_; ///< in force elsewhere, and when last reported
    std::map<std::string, Reported> reports_;      ///< the latest one of each balancer
};

} // namespace Routing
