#include "configuration/questionnaire.h"

#include <algorithm>
#include <set>

namespace Configuration {

static constexpr std::int64_t LeastDeadlineMs = 10;
static constexpr std::int64_t MostDeadlineMs = 600'000;
static constexpr std::int64_t MostSlots = 1024;
static constexpr std::int64_t MostConnections = 100'000;

static std::vector<std::string> readPaths(ObjectReader &reader, const std::string &key)
{
    auto paths = reader.optionalStrings(key);
    for (const std::string &path : paths) {
        if (!path.starts_with('/'))
            reader.reportProblem(key, Problem::OutOfRange, "a path starts with /");
    }
    return paths;
}

static Model::Service readService(ObjectReader &reader)
{
    Model::Service service;
    service.name = reader.string("name");
    service.address = reader.endpoint("address");
    service.deadline = std::chrono::milliseconds(
        reader.integer("answerWithinMs", LeastDeadlineMs, MostDeadlineMs));
    service.slotsPerServer = std::uint32_t(reader.integer("slotsPerServer", 1, MostSlots));
    service.connectionsPerServer =
        std::uint32_t(reader.integer("connectionsPerServer", 1, MostConnections));
    service.longWorkPaths = readPaths(reader, "longWorkPaths");
    service.feedPaths = readPaths(reader, "feedPaths");
    return service;
}

boost::leaf::result<Model::Configuration> generateConfiguration(const Document &document)
{
    ObjectReader reader(document);
    Model::Configuration configuration;
    configuration.deployment = reader.string("deployment");
    configuration.failureDomains = reader.strings("failureDomains");
    const std::set<std::string> domains(configuration.failureDomains.begin(),
                                        configuration.failureDomains.end());
    if (domains.size() != configuration.failureDomains.size())
        reader.reportProblem("failureDomains", Problem::Duplicate);

    std::set<std::string> names;
    std::set<Model::Endpoint> addresses;
    for (ObjectReader &serviceReader : reader.objects("services")) {
        Model::Service service = readService(serviceReader);
        if (!names.insert(service.name).second)
            serviceReader.reportProblem("name", Problem::Duplicate, service.name);
        if (!addresses.insert(service.address).second)
            serviceReader.reportProblem("address", Problem::Duplicate,
                                 Model::endpointText(service.address));
        serviceReader.problem();
        configuration.services.push_back(std::move(service));
    }
    if (auto problem = reader.problem())
        return boost::leaf::new_error(std::move(*problem));
    return configuration;
}

std::string_view questionnaireTemplate()
{
    return R"(// Answers for one deployment. gypsumwing generate checks them and prints the configuration.
{
    // Name of the deployment.
    "deployment": "example",

    // Zones that fail independently of each other.
    "failureDomains": ["a", "b", "c"],

    "services": [
        {
            // Name that backend servers announce.
            "name": "order-desk",
            // Where callers reach the service.
            "address": "10.40.0.1:80",
            // How soon a request must be answered to be of use, in milliseconds.
            "answerWithinMs": 2000,
            // Requests that one backend server runs at once.
            "slotsPerServer": 3,
            // Flows that one backend server holds open.
            "connectionsPerServer": 2000,
            // Paths of work that runs many times longer than the rest; may be left out.
            "longWorkPaths": ["/manifests"],
            // Paths of feeds that stay open; may be left out.
            "feedPaths": ["/feed"]
        }
    ]
}
)";
}

} // namespace Configuration
