#pragma once

#include "model/identity.h"
#include "store/objectclient.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Membership {

/// Time for which an instance remains whose announcement the platform lost in a restore.
constexpr std::chrono::seconds MissingLifetime{2};

/// The announced instances, as read from the platform.
///
/// The version of a key only increases, so that a stale read changes nothing. A platform that was
/// restored from an older copy may lack the announcements of instances that run: these remain for
/// MissingLifetime, so that the instances can announce themselves again. Not thread-safe.
class InstanceRegistry
{
public:
    /// Applies one change that the platform reported. Returns whether the set of instances changed.
    bool apply(const Store::Change &change);

    using TimePoint = std::chrono::steady_clock::time_point;

    /// Applies a complete listing. An instance that it does not contain is removed, unless its
    /// version is newer than the listing's revision; if the platform was restored since that
    /// version, it is missing. Returns whether the set of instances changed, or the listing is
    /// newer than all before and so tells which names are still not announced.
    bool apply(const Store::Listing &listing);

    /// Removes the instances that have been missing for MissingLifetime at \a now. Returns whether
    /// there were any.
    bool expireMissing(TimePoint now);

    /// Returns the announced instances, including missing ones, ordered by name.
    std::vector<Model::Instance> instances() const;

    /// Returns the instance called \a name, if it is announced and not missing.
    std::optional<Model::Instance> find(const std::string &name) const;

    /// Returns the latest known version of the announcement of \a name; if it was deleted or is
    /// missing, the latest revision at which that was known; 0 if there was none.
    Store::Version versionOf(const std::string &name) const;

    /// Returns the revision of the newest listing: names that are neither known from a change nor
    /// listed were not announced then.
    Store::Revision listedRevision() const { return listed_; }

    /// Returns the announcements of instances(), each with the version that was announced. A
    /// missing one has a version of the timeline that lost it, so that it confirms nothing on the
    /// next one.
    std::vector<Store::Object> announcements() const;

    /// Returns the number of announcements since the start that could not be parsed.
    std::size_t malformedCount() const { return malformed_; }

private:
    struct Entry
    {
        Store::Version version{};                ///< at which the rest was known last
        std::optional<Model::Instance> instance; ///< empty after a deletion
        Store::Version announced{};              ///< version of the announcement of instance
        bool isMissing = false;                  ///< the platform lost the announcement
        std::optional<TimePoint> missingSince;   ///< first call of expireMissing() after that
    };

    bool set(const std::string &key, Store::Version version,
             const std::optional<std::string> &value);

    std::map<std::string, Entry> entries_;
    Store::Revision listed_; ///< of the newest listing
    std::size_t malformed_ = 0;
};

} // namespace Membership
