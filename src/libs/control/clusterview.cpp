#include "control/clusterview.h"

#include "configuration/configurationcodec.h"
#include "membership/announcement.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>

namespace Control {

ClusterView::ClusterView()
    : table_(std::make_shared<Routing::RoutingTable>())
{}

bool ClusterView::apply(const Platform::Listing &listing)
{
    bool changed = registry_.apply(listing);
    for (const Platform::Object &object : listing.objects) {
        if (object.key == Membership::ConfigurationKey)
            changed |= offerConfiguration(object.version, object.value);
    }
    revision_ = std::max(revision_, listing.revision);
    if (changed)
        rebuild();
    return changed;
}

bool ClusterView::apply(const Platform::Changes &changes)
{
    bool changed = false;
    for (const Platform::Change &change : changes.changes) {
        if (change.key == Membership::ConfigurationKey && change.value)
            changed |= offerConfiguration(change.version, *change.value);
        else
            changed |= registry_.apply(change);
    }
    revision_ = std::max(revision_, changes.revision);
    if (changed)
        rebuild();
    return changed;
}

bool ClusterView::offerConfiguration(Platform::Version version, const std::string &value)
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
            // The last good configuration stays in force.
            ++refusedConfigurations_;
            return false;
        });
}

void ClusterView::rebuild()
{
    table_ = Routing::RoutingTable::build(gate_.current(), registry_.instances(), *table_,
                                          ++tableVersion_);
}

Platform::Listing ClusterView::snapshot() const
{
    Platform::Listing listing;
    listing.revision = revision_;
    if (gate_.current().generation > Model::Generation{})
        listing.objects.push_back({std::string(Membership::ConfigurationKey), configurationVersion_,
                                   Configuration::encodeConfiguration(gate_.current()).dump()});
    for (const Model::Instance &instance : registry_.instances())
        listing.objects.push_back({Membership::instanceKey(instance.name),
                                   registry_.versionOf(instance.name),
                                   Membership::encodeAnnouncement(instance)});
    return listing;
}

std::string encodeListing(const Platform::Listing &listing)
{
    nlohmann::json objects = nlohmann::json::array();
    for (const Platform::Object &object : listing.objects) {
        objects.push_back({{"key", object.key},
                           {"version", std::uint64_t(object.version)},
                           {"value", nlohmann::json::parse(object.value)}});
    }
    return nlohmann::json{{"revision", std::uint64_t(listing.revision)},
                          {"objects", std::move(objects)}}
        .dump();
}

} // namespace Control
