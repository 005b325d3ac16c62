#include "configuration/routeconfiguration.h"

namespace Configuration {

static constexpr auto MaxGeneration = std::numeric_limits<std::int64_t>::max();
static constexpr std::int64_t MaxWeight = std::numeric_limits<std::int32_t>::max();
static constexpr std::int64_t MaxIdleMs = 86'400'000;
static constexpr std::int64_t MaxPriority = 255;
static constexpr std::int64_t MaxTermMs = 86'400'000;
static constexpr double MaxWarmUpRate = 1e6;

nlohmann::json encodeRoutes(const Model::Configuration &configuration)
{
    nlohmann::json services = nlohmann::json::array();
    for (const Model::Service &service : configuration.services)
        services.push_back({{"name", service.name}, {"warmUpRate", service.warmUpRate}});
    nlohmann::json routes = nlohmann::json::array();
    for (const Model::Route &route : configuration.routes) {
        nlohmann::json targets = nlohmann::json::array();
        for (const Model::RouteTarget &target : route.targets)
            targets.push_back({{"service", target.service}, {"weight", target.weight}});
        routes.push_back({{"address", Model::endpointText(route.address)},
                          {"targets", targets},
                          {"priority", route.terms.priority},
                          {"objectiveMs", route.terms.objective.count()}});
    }
    return {{"generation", std::uint64_t(configuration.generation)},
            {"idleFlowTimeoutMs", configuration.idleFlowTimeout.count()},
            {"services", std::move(services)},
            {"routes", std::move(routes)}};
}

/// Returns the objects in the list \a key, which may be empty here; ObjectReader::objects()
/// requires at least one.
static std::vector<ObjectReader> objectsOf(const Document &document, ObjectReader &reader,
                                           const char *key)
{
    const nlohmann::json &root = document.root();
    const bool isEmpty =
        root.is_object() && root.contains(key) && root[key].is_array() && root[key].empty();
    if (!isEmpty)
        return reader.objects(key);
    reader.strings(key);
    return {};
}

boost::leaf::result<Model::Configuration> decodeRoutes(const Document &document)
{
    ObjectReader reader(document);
    Model::Configuration configuration;
    configuration.generation = Model::Generation(reader.integer("generation", 0, MaxGeneration));
    configuration.idleFlowTimeout =
        std::chrono::milliseconds(reader.integer("idleFlowTimeoutMs", 0, MaxIdleMs));
    for (ObjectReader &entry : objectsOf(document, reader, "services")) {
        Model::Service service;
        service.name = entry.string("name");
        service.warmUpRate = entry.number("warmUpRate", 0, MaxWarmUpRate);
        configuration.services.push_back(std::move(service));
    }
    for (ObjectReader &entry : objectsOf(document, reader, "routes")) {
        Model::Route route;
        route.address = entry.endpoint("address");
        for (ObjectReader &target : entry.objects("targets")) {
            const std::string service = target.string("service");
            const auto weight = target.integer("weight", 0, MaxWeight);
            route.targets.push_back({service, std::uint32_t(weight)});
        }
        route.terms.priority = std::uint8_t(entry.integerOr("priority", 0, MaxPriority, 0));
        route.terms.objective =
            std::chrono::milliseconds(entry.integerOr("objectiveMs", 0, MaxTermMs, 0));
        configuration.routes.push_back(std::move(route));
    }
    if (auto problem = reader.problem())
        return boost::leaf::new_error(std::move(*problem));
    return configuration;
}

} // namespace Configuration
