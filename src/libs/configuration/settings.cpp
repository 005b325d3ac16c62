#include "configuration/settings.h"

namespace Configuration {

static constexpr double SmallestCapacity = 0.01;
static constexpr double LargestCapacity = 1000.0;
static constexpr std::int64_t LargestWarmUpMs = 600'000;
static constexpr std::int64_t DefaultWarmUpMs = 3'000;
static constexpr std::int64_t LargestStopGraceMs = 3'600'000;
static constexpr std::int64_t DefaultStopGraceMs = 30'000;
static constexpr std::int64_t SmallestPacketBytes = 576;
static constexpr std::int64_t LargestPacketBytes = 1500;
static constexpr std::int64_t DefaultPacketBytes = 1240;

static constexpr std::int64_t LargestBeatMs = 600'000;
static constexpr std::int64_t LargestFlowSeconds = 86'400;

static ProcessSettings readProcess(ObjectReader &reader)
{
    ProcessSettings process;
    process.name = reader.string("name");
    process.failureDomain = reader.string("failureDomain");
    process.tunnel = reader.endpoint("tunnel");
    process.admin = reader.endpoint("admin");
    process.platform = reader.endpoint("platform");
    process.peers = reader.optionalEndpoints("peers");
    return process;
}

static AgentSettings readAgent(ObjectReader &reader)
{
    AgentSettings agent;
    agent.process = readProcess(reader);
    agent.service = reader.string("service");
    agent.capacity = reader.number("capacity", SmallestCapacity, LargestCapacity);
    agent.peer = reader.endpoint("peer");
    agent.fabric = reader.endpoint("fabric");
    agent.backend = reader.endpoint("backend");
    agent.warmUp = std::chrono::milliseconds(
        reader.integerOr("warmUpMs", 0, LargestWarmUpMs, DefaultWarmUpMs));
    agent.stopGrace = std::chrono::milliseconds(
        reader.integerOr("stopGraceMs", 0, LargestStopGraceMs, DefaultStopGraceMs));
    agent.maximumPacketBytes = std::uint16_t(reader.integerOr(
        "maximumPacketBytes", SmallestPacketBytes, LargestPacketBytes, DefaultPacketBytes));
    return agent;
}

static ForwardingSettings readForwarding(ObjectReader &reader)
{
    ForwardingSettings process;
    process.name = reader.string("name");
    process.failureDomain = reader.string("failureDomain");
    process.tunnel = reader.endpoint("tunnel");
    process.pages = reader.endpoint("pages");
    process.metrics = reader.endpoint("metrics");
    process.store = reader.endpoint("store");
    process.callers = reader.endpoint("callers");
    process.readiness = reader.endpoint("readiness");
    process.control = reader.endpoint("control");
    process.seeds = reader.optionalEndpoints("seeds");
    process.isFirstStart = reader.boolean("firstStart");
    return process;
}

static ForwardingAgentSettings readForwardingAgent(ObjectReader &reader)
{
    ForwardingAgentSettings agent;
    agent.process = readForwarding(reader);
    agent.service = reader.string("service");
    agent.backend = reader.endpoint("backend");
    agent.outbound = reader.endpoint("outbound");
    agent.heartbeatInterval =
        std::chrono::milliseconds(reader.integer("beatIntervalMs", 1, LargestBeatMs));
    agent.maxFlowAge =
        std::chrono::seconds(reader.integer("longestFlowSeconds", 1, LargestFlowSeconds));
    return agent;
}

boost::leaf::result<Settings> readSettings(const Document &document)
{
    ObjectReader reader(document);
    const std::size_t role =
        reader.choice("role", {"balancer", "agent", "forwarding-balancer", "forwarding-agent"});
    // Which keys are known depends on the role.
    if (auto problem = reader.firstProblem())
        return boost::leaf::new_error(std::move(*problem));
    Settings settings;
    switch (role) {
    case 0:
        settings = BalancerSettings{readProcess(reader)};
        break;
    case 1:
        settings = readAgent(reader);
        break;
    case 2:
        settings = ForwardingBalancerSettings{readForwarding(reader)};
        break;
    default:
        settings = readForwardingAgent(reader);
    }
    if (auto problem = reader.problem())
        return boost::leaf::new_error(std::move(*problem));
    return settings;
}

} // namespace Configuration
