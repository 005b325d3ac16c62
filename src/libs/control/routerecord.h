#pragma once

#include "control/sharedobject.h"
#include "model/identity.h"
#include "routing/routehistory.h"

#include <chrono>
#include <optional>
#include <string>
#include <utility>

namespace Control {

/// The former targets that may own open flows while a configuration is in force, as the store keeps
/// them for processes that start.
struct RouteRecord
{
    /// The store's timeline when the record was written. A record of an earlier timeline than the
    /// store's may be a copy that lacks targets.
    Store::Timeline timeline{};
    Model::Generation generation{}; ///< of the configuration in force
    Routing::FormerTargets former;

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

/// Reads and writes the record of former targets in a store, with blocking calls on the caller's
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
                       return record ? record->former.byAddress.size() : 0;
                   }},
                  isFirstStart)
    {}

    /// Makes the call that is due at \a now, if any. \a isFirstBalancer is whether this process
    /// writes the record, \a former and \a generation what it should contain, and \a timeline the
    /// latest timeline of the store that this process knows. A process that may miss targets does
    /// not write. Returns the record when one of the store's timeline was read. Not thread-safe.
    std::optional<RouteRecord> step(std::chrono::steady_clock::time_point now, bool isFirstBalancer,
                                    Model::Generation generation,
                                    const Routing::FormerTargets &former, Store::Timeline timeline)
    {
        if (generation == Model::Generation{})
            return std::nullopt;
        if (retryPolicy_.isDue(now, !former.isComplete, generation))
            object_.invalidate();
        const auto found = object_.step(
            now, isFirstBalancer && former.isComplete,
            [&](Store::Timeline latest) {
                return encode({latest, generation, former});
            },
            timeline);
        if (!found)
            return std::nullopt;
        auto record = decodeRouteRecord(found->value);
        return record && record->timeline == found->timeline ? record : std::nullopt;
    }

private:
    /// Returns the encoded \a record, which rarely changes between two steps.
    const std::string &encode(RouteRecord record)
    {
        if (encoded_.empty() || record != record_) {
            record_ = std::move(record);
            encoded_ = encodeRouteRecord(record_);
        }
        return encoded_;
    }

    SharedObject<Client> object_;
    RecordRetryPolicy retryPolicy_;
    RouteRecord record_;
    std::string encoded_; ///< of record_
};

} // namespace Control
