#include "configuration/configurationcodec.h"

#include "configuration/questionnaire.h"

namespace Configuration {

static nlohmann::json encodeService(const Model::Service &service)
{
    return {{"name", service.name},
            {"address", Model::endpointText(service.address)},
            {"answerWithinMs", service.deadline.count()},
            {"slotsPerServer", service.slotsPerServer},
            {"connectionsPerServer", service.connectionsPerServer},
            {"longWorkPaths", service.longWorkPaths},
            {"feedPaths", service.feedPaths}};
}

nlohmann::json encodeConfiguration(const Model::Configuration &configuration)
{
    nlohmann::json services = nlohmann::json::array();
    for (const Model::Service &service : configuration.services)
        services.push_back(encodeService(service));
    return {{"generation", std::uint64_t(configuration.generation)},
            {"recentChanges", configuration.recentChanges},
            {"answers",
             {{"deployment", configuration.deployment},
              {"failureDomains", configuration.failureDomains},
              {"services", std::move(services)}}}};
}

boost::leaf::result<Model::Configuration> decodeConfiguration(const Document &document)
{
    static constexpr auto MostGeneration = std::numeric_limits<std::int64_t>::max();
    ObjectReader reader(document);
    const auto generation = reader.integer("generation", 0, MostGeneration);
    auto recentChanges = reader.optionalStrings("recentChanges");
    reader.object("answers");
    if (auto problem = reader.problem())
        return boost::leaf::new_error(std::move(*problem));

    BOOST_LEAF_AUTO(answers, Document::parse(document.file(), document.root()["answers"].dump()));
    BOOST_LEAF_AUTO(configuration, generateConfiguration(answers));
    configuration.generation = Model::Generation(generation);
    configuration.recentChanges = std::move(recentChanges);
    return configuration;
}

} // namespace Configuration
