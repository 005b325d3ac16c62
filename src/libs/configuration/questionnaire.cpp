#include "configuration/questionnaire.h"

#include <algorithm>
#include <set>

namespace Configuration {

static constexpr std::int64_t MinDeadlineMs = 10;
static constexpr std::int64_t MaxDeadlineMs = 600'000;
static constexpr std::int64_t MaxSlots = 1024;
static constexpr std::int64_t MaxConnections = 100'000;

static std::vector<std::string> readPaths(ObjectReader &reader, const std::string &key)
{
    auto paths = reader.optionalStrings(key);
    for (const std::string &path : paths) {
        if (!path.starts_with('/'))
            reader.reportProblem(key, Problem::OutOfRange, "a path must start with /");
    }
    return paths;
}

static Model::Service readService(ObjectReader &reader)
{
    Model::Service service;
    service.name = reader.string("name");
    service.address = reader.endpoint("address");
    service.deadline =
        std::chrono::milliseconds(reader.integer("answerWithinMs", MinDeadlineMs, MaxDeadlineMs));
    service.slotsPerServer = std::uint32_t(reader.integer("slotsPerServer", 1, MaxSlots));
    service.connectionsPerServer =
        std::uint32_t(reader.integer("connectionsPerServer", 1, MaxConnections));
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
    // Name of this deployment.
    "deployment": "example",

    // Failure domains, which fail independently of each other.
    "failureDomains": ["a", "b", "c"],

    "services": [
        {
            // Name that backend servers announce.
            "name": "order-desk",
            // Address and port at which callers reach the service.
            "address": "10.40.0.1:80",
            // Time in milliseconds within which a request must be answered to be of use.
            "answerWithinMs": 2000,
            // Maximum number of requests that a backend server runs concurrently.
            "slotsPerServer": 3,
            // Maximum number of open flows per backend server.
            "connectionsPerServer": 2000,
            // Path prefixes of requests that run many times longer than others; optional.
            "longWorkPaths": ["/manifests"],
            // Path prefixes of feeds, whose responses do not end; optional.
            "feedPaths": ["/feed"]
        }
    ]
}
)";
}

} // namespace Configuration
