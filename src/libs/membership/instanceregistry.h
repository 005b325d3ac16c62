#pragma once

#include "model/identity.h"
#include "store/objectclient.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Membership {

/// The announced instances as this process knows them.
///
/// Each key only ever moves to a greater version, so that a stale read changes nothing.
/// Not thread-safe.
class InstanceRegistry
{
public:
    /// Takes one change of the platform. Returns whether the set of instances changed.
    bool apply(const Store::Change &change);

    /// Takes a whole listing: what it lacks and is older than its revision, is gone.
    /// Returns whether the set of instances changed.
    bool apply(const Store::Listing &listing);

    /// Returns the announced instances, ordered by name.
    std::vector<Model::Instance> instances() const;

    /// Returns the instance called \a name, if it is announced.
    std::optional<Model::Instance> find(const std::string &name) const;

    /// Returns the version under which \a name stands, or 0.
    Store::Version versionOf(const std::string &name) const;

    /// Returns the announcements that could not be read since the start.
    std::size_t malformedCount() const { return malformed_; }

private:
    struct Entry
    {
        Store::Version version{};
        std::optional<Model::Instance> instance; ///< nothing after a deletion
    };

    bool set(const std::string &key, Store::Version version,
             const std::optional<std::string> &value);

    std::map<std::string, Entry> entries_;
    std::size_t malformed_ = 0;
};

} // namespace Membership
