#pragma once

#include "control/sharedobject.h"
#include "model/identity.h"
#include "routing/routehistory.h"

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace Control {

/// The targets that may own open flows, as the store keeps them for processes that start.
struct RouteRecord
{
    /// The store's timeline when the record was written. A record of an earlier timeline than the
    /// store's may be a copy that lacks targets.
    Store::Timeline timeline{};
    Routing::TargetsRecord targets;

    bool operator==(const RouteRecord &) const = default;
};

/// Returns \a record as JSON. Thread-safe.
std::string encodeRouteRecord(const RouteRecord &record);

/// Returns the record in \a value; nothing if any part of it is malformed. Thread-safe.
std::optional<RouteRecord> decodeRouteRecord(const std::string &value);

/// Decides when a process that misses former targets reads the record of them again: with growing
/// pauses, since the responsible balancer may be about to write it. Reads no clock. Not
/// thread-safe.
class RecordRetryPolicy
{
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    /// Returns whether to read the record now. \a isMissing is whether former targets may be
    /// missing while the configuration with \a generation is in force.
    bool isDue(TimePoint now, bool isMissing, Model::Generation generation);

private:
    Model::Generation generation_{};
    std::chrono::seconds pause_{0};
    TimePoint next_;
};

/// A process whose knowledge of targets is recorded.
template<typename S>
concept TargetsSource = requires(const S &source)
{
    {
        source.recordableTargets()
        } -> std::same_as<std::optional<Routing::TargetsRecord>>;
    {
        source.targetsVersion()
        } -> std::same_as<std::uint64_t>;
    {
        source.configuration()
        } -> std::same_as<const Model::Configuration &>;
    {
        source.formerTargets()
        } -> std::same_as<Routing::FormerTargets>;
};

/// The record of targets in a store: reads and writes it with blocking calls on the caller's
/// thread.
template<Store::ObjectClient Client>
class RouteRecorder
{
public:
    /// \a client must outlive this object and must not be used elsewhere. \a key is the key of the
    /// record in the store, and \a isFirstStart whether the whole system starts for the first time.
    RouteRecorder(Client &client, std::string key, bool isFirstStart)
        : object_(client, std::move(key),
                  {"route-record", "addresses",
                   [](const std::string &value) {
                       const auto record = decodeRouteRecord(value);
                       return record ? record->targets.inForce.size() : 0;
                   }},
                  isFirstStart)
    {}

    /// Updates what to record from \a source, if that changed. Not thread-safe.
    template<TargetsSource S>
    void update(const S &source)
    {
        if (version_ == source.targetsVersion())
            return;
        version_ = source.targetsVersion();
        targets_ = source.recordableTargets();
        generation_ = source.configuration().generation;
        isMissing_ = !source.formerTargets().isComplete;
        encoded_.clear();
    }

    /// Makes the call that is due at \a now, if any. \a isFirstBalancer is whether this process
    /// writes the record, and \a timeline the latest timeline of the store that this process knows.
    /// A process that may miss targets does not write. Returns the record when one of the store's
    /// timeline was read. Not thread-safe.
    std::optional<Routing::TargetsRecord> step(std::chrono::steady_clock::time_point now,
                                               bool isFirstBalancer, Store::Timeline timeline)
    {
        if (generation_ == Model::Generation{})
            return std::nullopt;
        if (retryPolicy_.isDue(now, isMissing_, generation_))
            object_.invalidate();
        const auto found = object_.step(
            now, isFirstBalancer && targets_.has_value(),
            [this](Store::Timeline latest) -> const std::string & { return encode(latest); },
            timeline);
        if (!found)
            return std::nullopt;
        const auto record = decodeRouteRecord(found->value);
        if (!record || record->timeline != found->timeline)
            return std::nullopt;
        return record->targets;
    }

private:
    const std::string &encode(Store::Timeline timeline)
    {
        if (targets_ && (encoded_.empty() || timeline != encodedTimeline_)) {
            encodedTimeline_ = timeline;
            encoded_ = encodeRouteRecord({timeline, *targets_});
        }
        return encoded_;
    }

    SharedObject<Client> object_;
    RecordRetryPolicy retryPolicy_;
    std::optional<std::uint64_t> version_; ///< of the source at the latest update
    std::optional<Routing::TargetsRecord> targets_;
    Model::Generation generation_{};
    bool isMissing_ = false;
    std::string encoded_;
    Store::Timeline encodedTimeline_{};
};

} // namespace Control
