#include "configuration/settings.h"

namespace Configuration {

static constexpr double MinCapacity = 0.01;
static constexpr double MaxCapacity = 1000.0;
static constexpr std::int64_t MaxWarmUpMs = 600'000;
static constexpr std::int64_t DefaultWarmUpMs = 3'000;
static constexpr std::int64_t MaxStopGraceMs = 3'600'000;
static constexpr std::int64_t DefaultStopGraceMs = 30'000;
static constexpr std::int64_t MinPacketBytes = 576;
static constexpr std::int64_t MaxPacketBytes = 1500;
static constexpr std::int64_t DefaultPacketBytes = 1240;

static constexpr std::int64_t MaxHeartbeatMs = 600'000;
static constexpr std::int64_t MaxFlowAgeSeconds = 86'400;
static constexpr double MaxStoreHistorySeconds = 86'400;

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
    agent.capacity = reader.number("capacity", MinCapacity, MaxCapacity);
    agent.peer = reader.endpoint("peer");
    agent.fabric = reader.endpoint("fabric");
    agent.backend = reader.endpoint("backend");
    agent.warmUp =
        std::chrono::milliseconds(reader.integerOr("warmUpMs", 0, MaxWarmUpMs, DefaultWarmUpMs));
    agent.stopGrace = std::chrono::milliseconds(
        reader.integerOr("stopGraceMs", 0, MaxStopGraceMs, DefaultStopGraceMs));
    agent.maximumPacketBytes = std::uint16_t(
        reader.integerOr("maximumPacketBytes", MinPacketBytes, MaxPacketBytes, DefaultPacketBytes));
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

static ForwardingBalancerSettings readForwardingBalancer(ObjectReader &reader)
{
    ForwardingBalancerSettings balancer;
    balancer.process = readForwarding(reader);
    balancer.maxFlowAge =
        std::chrono::seconds(reader.integerOr("longestFlowSeconds", 0, MaxFlowAgeSeconds, 0));
    balancer.followsEvacuations = reader.booleanOr("followsEvacuations", false);
    if (reader.has("storeHistorySeconds")) {
        const std::chrono::duration<double> history(
            reader.number("storeHistorySeconds", 0, MaxStoreHistorySeconds));
        balancer.storeHistory = std::chrono::duration_cast<std::chrono::milliseconds>(history);
    }
    return balancer;
}

static ForwardingAgentSettings readForwardingAgent(ObjectReader &reader)
{
    ForwardingAgentSettings agent;
    agent.process = readForwarding(reader);
    agent.service = reader.string("service");
    agent.backend = reader.endpoint("backend");
    agent.outbound = reader.endpoint("outbound");
    agent.heartbeatInterval =
        std::chrono::milliseconds(reader.integer("beatIntervalMs", 1, MaxHeartbeatMs));
    agent.maxFlowAge =
        std::chrono::seconds(reader.integer("longestFlowSeconds", 1, MaxFlowAgeSeconds));
    return agent;
}

boost::leaf::result<Settings> readSettings(const Document &document)
{
    ObjectReader reader(document);
    const std::size_t role =
        reader.choice("role", {"balancer", "agent", "forwarding-balancer", "forwarding-agent"});
    // The valid keys depend on the role, so that nothing else can be checked without it.
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
        settings = readForwardingBalancer(reader);
        break;
    default:
        settings = readForwardingAgent(reader);
    }
    if (auto problem = reader.problem())
        return boost::leaf::new_error(std::move(*problem));
    return settings;
}

} // namespace Configuration
