#pragma once

#include "model/service.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Routing {

/// The services that get the new flows of an address, in the order of the configuration.
using Targets = std::vector<Model::RouteTarget>;
using TargetsByAddress = std::map<Model::Endpoint, Targets>;

/// Returns the targets of each address in \a configuration. Targets without weight, and those whose
/// service is not configured, are left out; a route may have none left. Thread-safe.
TargetsByAddress targetsByAddress(const Model::Configuration &configuration);

/// Returns the service that \a targets select for the flow with \a flowHash. Precondition:
/// \a targets is not empty. Thread-safe.
const std::string &selectService(const Targets &targets, std::uint64_t flowHash);

/// Whether a configuration is known to be the next one after the configuration before it.
enum class Succession {
    Direct,  ///< there was none in between
    Unknown, ///< there may have been others in between
};

/// Where open flows may belong besides the targets of the configuration in force.
struct FormerTargets
{
    /// Targets of earlier configurations by address, latest first.
    std::map<Model::Endpoint, std::vector<Targets>> byAddress;
    /// Addresses that may have had other targets, too.
    std::set<Model::Endpoint> unknown;
    /// Whether all addresses other than the unknown ones had no other targets.
    bool isComplete = false;

    bool operator==(const FormerTargets &) const = default;
};

/// What a process knew of the targets while a configuration was in force.
struct TargetsRecord
{
    Model::Generation generation{}; ///< of the configuration
    TargetsByAddress inForce;       ///< of the addresses whose former targets were known
    std::map<Model::Endpoint, std::vector<Targets>> former; ///< latest first

    bool operator==(const TargetsRecord &) const = default;
};

/// Time that a configuration may take to be in force on all balancers. Until then, some of them
/// open flows to the targets of the one before.
constexpr std::chrono::seconds ConfigurationSpread{30};

/// Maximum number of earlier target lists that are kept for an address.
constexpr std::size_t MaxFormerTargets = 16;

/// Remembers the targets of earlier configurations until all flows that were opened under them have
/// ended, and whether any may be missing.
///
/// A process that starts has read the newest configuration only, and a process that was cut off
/// from the store may have missed some; the targets of the missed ones are unknown to it. Performs
/// no I/O and reads no clock. Not thread-safe.
class RouteHistory
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// \a started is when this process started, \a isFirstStart whether the whole system starts for
    /// the first time, and \a maxFlowAge the longest life of a flow; 0 if it is unlimited.
    RouteHistory(TimePoint started, bool isFirstStart, std::chrono::seconds maxFlowAge);

    /// Records that \a next replaces \a previous, the configuration in force so far. The generation
    /// of \a previous is 0 if \a next is the first one.
    void onConfiguration(TimePoint now, const Model::Configuration &previous,
                         const Model::Configuration &next, Succession succession);

    /// Uses \a record, which another process made, to learn targets that this one missed, while
    /// \a current is in force. Ignored if nothing is missing, and if \a record belongs to another
    /// configuration. With \a presumesUnchanged that of an earlier one is used, too: an address
    /// with the same targets then counts as unchanged since.
    void merge(TimePoint now, const TargetsRecord &record, const Model::Configuration &current,
               bool presumesUnchanged);

    /// Returns what this process knows while \a current is in force. Precondition: isComplete().
    TargetsRecord record(const Model::Configuration &current) const;

    /// Records that no other configurations were in force between those that were passed to
    /// onConfiguration().
    void confirmSuccession() { unconfirmedSince_.reset(); }

    /// Forgets targets whose flows have all ended. Returns whether former() changed.
    bool expire(TimePoint now);

    /// Returns the targets to search for open flows besides those in force.
    FormerTargets former() const;

    /// Whether the former targets of all but single addresses are known.
    bool isComplete() const { return !incompleteSince_ && !unconfirmedSince_; }

private:
    struct Entry
    {
        Targets targets;
        TimePoint replaced;
    };

    void add(TimePoint now, const Model::Endpoint &address, const Targets &targets);
    bool isOver(TimePoint now, TimePoint since) const;

    TimePoint started_;
    bool isFirstStart_;
    std::chrono::seconds maxFlowAge_;
    std::map<Model::Endpoint, std::vector<Entry>> entries_; ///< latest first
    std::map<Model::Endpoint, TimePoint> unknown_; ///< when other targets were last in force
    std::optional<TimePoint> incompleteSince_;     ///< when that may hold for all addresses
    std::optional<TimePoint> unconfirmedSince_;    ///< the same, for lack of a direct succession
};

} // namespace Routing
