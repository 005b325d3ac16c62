#pragma once

#include "model/identity.h"
#include "store/objectclient.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Membership {

/// The announced instances, as read from the platform.
///
/// The version of a key only increases, so that a stale read changes nothing. Not thread-safe.
class InstanceRegistry
{
public:
    /// Applies one change that the platform reported. Returns whether the set of instances changed.
    bool apply(const Store::Change &change);

    /// Applies a complete listing. An instance that it does not contain is removed, unless its
    /// version is newer than the listing's revision. Returns whether the set of instances changed.
    bool apply(const Store::Listing &listing);

    /// Returns the announced instances, ordered by name.
    std::vector<Model::Instance> instances() const;

    /// Returns the instance called \a name, if it is announced.
    std::optional<Model::Instance> find(const std::string &name) const;

    /// Returns the latest known version of the announcement of \a name, also if it was deleted; 0
    /// if there was none.
    Store::Version versionOf(const std::string &name) const;

    /// Returns the number of announcements since the start that could not be parsed.
    std::size_t malformedCount() const { return malformed_; }

private:
    struct Entry
    {
        Store::Version version{};
        std::optional<Model::Instance> instance; ///< empty after a deletion
    };

    bool set(const std::string &key, Store::Version version,
             const std::optional<std::string> &value);

    std::map<std::string, Entry> entries_;
    std::size_t malformed_ = 0;
};

} // namespace Membership
