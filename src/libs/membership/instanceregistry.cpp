#include "membership/instanceregistry.h"

#include "membership/announcement.h"

#include <algorithm>
#include <set>

namespace Membership {

bool InstanceRegistry::set(const std::string &key, Store::Version version,
                           const std::optional<std::string> &value)
{
    Entry &entry = entries_[key];
    if (version <= entry.version)
        return false;
    std::optional<Model::Instance> instance;
    if (value) {
        instance = decodeAnnouncement(*value);
        if (!instance || instanceKey(instance->name) != key) {
            // An announcement in a newer format must not take the instance out of service.
            ++malformed_;
            return false;
        }
    }
    const bool changed = entry.instance != instance;
    entry = {version, std::move(instance), version, false, {}};
    return changed;
}

bool InstanceRegistry::apply(const Store::Change &change)
{
    if (!change.key.starts_with(InstancePrefix))
        return false;
    return set(change.key, change.version, change.value);
}

bool InstanceRegistry::apply(const Store::Listing &listing)
{
    bool changed = listing.revision > listed_;
    listed_ = std::max(listed_, listing.revision);
    std::set<std::string> listed;
    for (const Store::Object &object : listing.objects) {
        if (!object.key.starts_with(InstancePrefix))
            continue;
        listed.insert(object.key);
        changed |= set(object.key, object.version, object.value);
    }
    for (auto &[key, entry] : entries_) {
        const bool isNewer = entry.version > listing.revision;
        if (listed.contains(key) || isNewer || !entry.instance)
            continue;
        entry.isMissing |= entry.version.timeline() != listing.revision.timeline();
        entry.version = listing.revision;
        if (!entry.isMissing)
            entry.instance.reset();
        changed = true;
    }
    return changed;
}

bool InstanceRegistry::expireMissing(TimePoint now)
{
    bool changed = false;
    for (auto &[key, entry] : entries_) {
        if (!entry.isMissing)
            continue;
        if (!entry.missingSince)
            entry.missingSince = now;
        if (now - *entry.missingSince < MissingLifetime)
            continue;
        entry = {entry.version, std::nullopt, entry.announced, false, {}};
        changed = true;
    }
    return changed;
}

std::vector<Model::Instance> InstanceRegistry::instances() const
{
    std::vector<Model::Instance> announced;
    for (const auto &[key, entry] : entries_) {
        if (entry.instance)
            announced.push_back(*entry.instance);
    }
    return announced;
}

std::optional<Model::Instance> InstanceRegistry::find(const std::string &name) const
{
    const auto entry = entries_.find(instanceKey(name));
    if (entry == entries_.end() || entry->second.isMissing)
        return std::nullopt;
    return entry->second.instance;
}

Store::Version InstanceRegistry::versionOf(const std::string &name) const
{
    const auto entry = entries_.find(instanceKey(name));
    return entry == entries_.end() ? Store::Version{} : entry->second.version;
}

std::vector<Store::Object> InstanceRegistry::announcements() const
{
    std::vector<Store::Object> objects;
    for (const auto &[key, entry] : entries_) {
        if (entry.instance)
            objects.push_back({key, entry.announced, encodeAnnouncement(*entry.instance)});
    }
    return objects;
}

} // namespace Membership
