#include "control/clusterview.h"

#include "configuration/configurationcodec.h"
#include "membership/announcement.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <iterator>
#include <set>

namespace Control {

ClusterView::ClusterView()
    : table_(std::make_shared<Routing::RoutingTable>())
{}

bool ClusterView::apply(const Store::Listing &listing)
{
    bool changed = registry_.apply(listing);
    for (const Store::Object &object : listing.objects) {
        if (object.key == Membership::ConfigurationKey)
            changed |= offerConfiguration(object.version, object.value);
    }
    revision_ = std::max(revision_, listing.revision);
    changed |= dropSupersededNotices();
    if (changed)
        rebuild();
    return changed;
}

bool ClusterView::apply(const Store::Changes &changes)
{
    bool changed = false;
    for (const Store::Change &change : changes.changes) {
        if (change.key == Membership::ConfigurationKey && change.value)
            changed |= offerConfiguration(change.version, *change.value);
        else
            changed |= registry_.apply(change);
    }
    revision_ = std::max(revision_, changes.revision);
    changed |= dropSupersededNotices();
    if (changed)
        rebuild();
    return changed;
}

bool ClusterView::offerConfiguration(Store::Version version, const std::string &value)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_AUTO(document, Configuration::Document::parse("configuration", value));
            BOOST_LEAF_AUTO(configuration, Configuration::decodeConfiguration(document));
            if (!gate_.offer(std::move(configuration)))
                return false;
            configurationVersion_ = version;
            return true;
        },
        [this] {
            // The last valid configuration stays in force.
            ++refusedConfigurations_;
            return false;
        });
}

bool ClusterView::apply(TimePoint now, const Tunnel::StateNotice &notice)
{
    for (const Model::Instance &instance : registry_.instances()) {
        const bool isSameInstance = Model::instanceId(instance.name) == notice.instance
                                    && instance.incarnation == notice.incarnation;
        // A notice carries less information than an announcement: it can only exclude an instance
        // from new work.
        if (!isSameInstance || instance.state == notice.state
            || instance.state == Model::InstanceState::Suspect)
            continue;
        const Notice updated{notice.incarnation, notice.state, registry_.versionOf(instance.name),
                             now};
        const auto [entry, isNew] = notices_.try_emplace(notice.instance, updated);
        const bool changed = isNew || entry->second.state != notice.state
                             || entry->second.incarnation != notice.incarnation;
        entry->second = updated;
        if (changed)
            rebuild();
        return changed;
    }
    return false;
}

bool ClusterView::dropSupersededNotices()
{
    std::set<std::pair<Model::InstanceId, Store::Version>> current;
    for (const Model::Instance &instance : registry_.instances())
        current.emplace(Model::instanceId(instance.name), registry_.versionOf(instance.name));
    return std::erase_if(notices_,
                         [&current](const auto &entry) {
                             return !current.contains({entry.first, entry.second.version});
                         })
           > 0;
}

bool ClusterView::expire(TimePoint now)
{
    bool changed = registry_.expireMissing(now);
    changed |= std::erase_if(notices_,
                             [now](const auto &entry) {
                                 return now - entry.second.since >= StateNoticeLifetime;
                             })
               > 0;
    if (changed)
        rebuild();
    return changed;
}

std::vector<Model::Instance> ClusterView::instancesWithNotices() const
{
    std::vector<Model::Instance> instances = registry_.instances();
    for (Model::Instance &instance : instances) {
        const auto notice = notices_.find(Model::instanceId(instance.name));
        if (notice != notices_.end() && notice->second.incarnation == instance.incarnation)
            instance.state = notice->second.state;
    }
    return instances;
}

void ClusterView::rebuild()
{
    table_ = Routing::RoutingTable::build(gate_.current(), instancesWithNotices(), *table_,
                                          ++tableVersion_);
}

Store::Listing ClusterView::snapshot() const
{
    Store::Listing listing;
    listing.revision = revision_;
    if (gate_.current().generation > Model::Generation{})
        listing.objects.push_back({std::string(Membership::ConfigurationKey), configurationVersion_,
                                   Configuration::encodeConfiguration(gate_.current()).dump()});
    std::ranges::move(registry_.announcements(), std::back_inserter(listing.objects));
    return listing;
}

std::string encodeListing(const Store::Listing &listing)
{
    nlohmann::json objects = nlohmann::json::array();
    for (const Store::Object &object : listing.objects) {
        objects.push_back({{"key", object.key},
                           {"version", object.version.number()},
                           {"timeline", std::uint64_t(object.version.timeline())},
                           {"value", nlohmann::json::parse(object.value)}});
    }
    return nlohmann::json{{"revision", listing.revision.number()},
                          {"timeline", std::uint64_t(listing.revision.timeline())},
                          {"objects", std::move(objects)}}
        .dump();
}

} // namespace Control
