#include "configuration/routeconfiguration.h"

namespace Configuration {

static constexpr auto MaxGeneration = std::numeric_limits<std::int64_t>::max();
static constexpr std::int64_t MaxWeight = std::numeric_limits<std::int32_t>::max();
static constexpr std::int64_t MaxIdleMs = 86'400'000;

nlohmann::json encodeRoutes(const Model::Configuration &configuration)
{
    nlohmann::json services = nlohmann::json::array();
    for (const Model::Service &service : configuration.services)
        services.push_back(service.name);
    nlohmann::json routes = nlohmann::json::array();
    for (const Model::Route &route : configuration.routes) {
        nlohmann::json targets = nlohmann::json::array();
        for (const Model::RouteTarget &target : route.targets)
            targets.push_back({{"service", target.service}, {"weight", target.weight}});
        routes.push_back({{"address", Model::endpointText(route.address)}, {"targets", targets}});
    }
    return {{"generation", std::uint64_t(configuration.generation)},
            {"idleFlowTimeoutMs", configuration.idleFlowTimeout.count()},
            {"services", std::move(services)},
            {"routes", std::move(routes)}};
}

static bool hasEmptyRoutes(const nlohmann::json &root)
{
    return root.is_object() && root.contains("routes") && root["routes"].is_array()
           && root["routes"].empty();
}

boost::leaf::result<Model::Configuration> decodeRoutes(const Document &document)
{
    ObjectReader reader(document);
    Model::Configuration configuration;
    configuration.generation = Model::Generation(reader.integer("generation", 0, MaxGeneration));
    configuration.idleFlowTimeout =
        std::chrono::milliseconds(reader.integer("idleFlowTimeoutMs", 0, MaxIdleMs));
    for (const std::string &name : reader.strings("services")) {
        Model::Service service;
        service.name = name;
        configuration.services.push_back(std::move(service));
    }
    // A configuration without routes is valid, but objects() requires at least one.
    std::vector<ObjectReader> entries;
    if (hasEmptyRoutes(document.root()))
        reader.strings("routes");
    else
        entries = reader.objects("routes");
    for (ObjectReader &entry : entries) {
        Model::Route route;
        route.address = entry.endpoint("address");
        for (ObjectReader &target : entry.objects("targets")) {
            const std::string service = target.string("service");
            const auto weight = target.integer("weight", 0, MaxWeight);
            route.targets.push_back({service, std::uint32_t(weight)});
        }
        configuration.routes.push_back(std::move(route));
    }
    if (auto problem = reader.problem())
        return boost::leaf::new_error(std::move(*problem));
    return configuration;
}

} // namespace Configuration
