#include "membership/announcement.h"

#include "configuration/checkedjson.h"

#include <boost/leaf/handle_errors.hpp>

namespace Membership {

static constexpr double LargestCapacity = 1e6;

std::string instanceKey(std::string_view name)
{
    return std::string(InstancePrefix) + std::string(name);
}

std::string encodeAnnouncement(const Model::Instance &instance)
{
    const nlohmann::json encoded{
        {"name", instance.name},
        {"service", instance.service},
        {"failureDomain", instance.failureDomain},
        {"tunnel", Model::endpointText(instance.tunnel)},
        {"peer", Model::endpointText(instance.peer)},
        {"capacity", instance.capacity},
        {"state", Model::stateText(instance.state)},
        {"drainAsked", instance.drainRequested},
        {"incarnation", std::uint64_t(instance.incarnation)},
    };
    return encoded.dump();
}

static std::optional<Model::Instance> readAnnouncement(const Configuration::Document &document)
{
    Configuration::ObjectReader reader(document);
    Model::Instance instance;
    instance.name = reader.string("name");
    instance.service = reader.string("service");
    instance.failureDomain = reader.string("failureDomain");
    instance.tunnel = reader.endpoint("tunnel");
    instance.peer = reader.endpoint("peer");
    instance.capacity = reader.number("capacity", 0, LargestCapacity);
    instance.state = Model::InstanceState(reader.choice("state", {"ready", "draining", "suspect"}));
    instance.drainRequested = reader.boolean("drainAsked");
    instance.incarnation = Model::Incarnation(
        reader.integer("incarnation", 0, std::numeric_limits<std::int64_t>::max()));
    if (reader.problem())
        return std::nullopt;
    return instance;
}

std::optional<Model::Instance> decodeAnnouncement(const std::string &value)
{
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<std::optional<Model::Instance>> {
            BOOST_LEAF_AUTO(document, Configuration::Document::parse("announcement", value));
            return readAnnouncement(document);
        },
        [] { return std::optional<Model::Instance>(); });
}

} // namespace Membership
