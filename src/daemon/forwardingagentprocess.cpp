#include "forwardingagentprocess.h"

#include "forwardingprocess.h"
#include "processmetrics.h"

#include "forwarding/agenttraffic.h"
#include "observability/adminserver.h"
#include "observability/log.h"
#include "platform/packetcodec.h"
#include "platform/platformserver.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/StreamSocket.h>

namespace Daemon {

using Observability::Level;
using Observability::log;
using Traffic = Forwarding::AgentTraffic<Platform::PacketCodec>;

/// Interval at which the main thread checks for changed settings.
static constexpr std::chrono::milliseconds ControlInterval{200};

/// Timeout for connecting to the backend server, which runs on the same machine.
static constexpr std::chrono::milliseconds ConnectTimeout{50};

static Forwarding::AgentCore::Options
optionsOf(const Configuration::ForwardingAgentSettings &settings)
{
    const Configuration::ForwardingSettings &process = settings.process;
    Forwarding::AgentCore::Options options;
    options.self = selfMember(process, Tunnel::Role::Agent);
    options.self.instance.service = settings.service;
    options.backend = settings.backend;
    options.isFirstStart = process.isFirstStart;
    options.heartbeatInterval = settings.heartbeatInterval;
    options.maxFlowAge = settings.maxFlowAge;
    return options;
}

enum class ConnectionOutcome { Accepted, Refused, Unknown };

/// Connects to \a server and closes the connection.
static ConnectionOutcome tryConnection(const Model::Endpoint &server)
{
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(Model::endpointText(server)),
                       Poco::Timespan(std::chrono::microseconds(ConnectTimeout).count()));
        return ConnectionOutcome::Accepted;
    } catch (const Poco::Net::ConnectionRefusedException &) {
        return ConnectionOutcome::Refused;
    } catch (const Poco::Exception &) {
        // The server may run and be busy.
        return ConnectionOutcome::Unknown;
    }
}

/// Finds out whether a backend server runs, or whether the running one accepts connections.
static void checkServer(Traffic &traffic, const Model::Endpoint &server)
{
    const bool isNeeded =
        traffic.withCore([](const Forwarding::AgentCore &core) { return core.needsConnection(); });
    if (!isNeeded)
        return;
    const ConnectionOutcome outcome = tryConnection(server);
    if (outcome == ConnectionOutcome::Unknown)
        return;
    const bool isAccepted = outcome == ConnectionOutcome::Accepted;
    if (!isAccepted)
        log(Level::Info, "connection-refused", {{"address", Model::endpointText(server)}});
    traffic.withCore(
        [isAccepted](Forwarding::AgentCore &core) { core.onConnectionTried(isAccepted); });
}

static nlohmann::json stateOf(const std::string &name, Traffic &traffic)
{
    const Forwarding::AgentCounters &counters = traffic.counters();
    const Forwarding::AgentStatus status = traffic.withCore(
        [](Forwarding::AgentCore &core) { return core.status(std::chrono::steady_clock::now()); });
    nlohmann::json drops;
    for (std::size_t cause = 0; cause < counters.drops.size(); ++cause)
        drops[Flows::dropCauseText(Flows::DropCause(cause))] = counters.drops[cause].load();
    return {{"role", "forwarding-agent"},
            {"name", name},
            {"accepting", int(status.isAccepting)},
            {"evacuated", int(status.isEvacuated)},
            {"startDelayMs", status.startDelay.count()},
            {"waiting", status.waiting},
            {"answerMicros", status.answerTime.count()},
            {"omittedLogLines", Observability::omittedLogLines()},
            {"flows",
             {{"open", status.openFlows},
              {"redirects", status.redirects},
              {"held", status.heldSyns},
              {"heldRequests", status.heldRequests}}},
            {"packets",
             {{"received", counters.received.load()},
              {"unreadable", counters.unreadable.load()},
              {"delivered", counters.delivered.load()},
              {"answered", counters.answered.load()},
              {"returned", counters.returned.load()},
              {"passedOn", counters.passedOn.load()},
              {"resets", counters.resets.load()},
              {"dropped", drops}}}};
}

/// Passes \a heartbeat to the core. Logs it if it was rejected or changed whether the agent accepts
/// flows. Returns false if it belongs to another service or address.
static bool handleHeartbeat(Traffic &traffic, const Forwarding::BackendHeartbeat &heartbeat)
{
    const auto now = std::chrono::steady_clock::now();
    const auto [outcome, before, after] = traffic.withCore([&](Forwarding::AgentCore &core) {
        const bool wasAccepting = core.status(now).isAccepting;
        const auto result = core.onHeartbeat(now, heartbeat);
        return std::tuple(result, wasAccepting, core.status(now).isAccepting);
    });
    if (outcome != Forwarding::HeartbeatOutcome::Accepted || before != after)
        log(Level::Info, "beat",
            {{"backend", heartbeat.id},
             {"sequence", heartbeat.sequence},
             {"born", heartbeat.startTimeMs},
             {"draining", heartbeat.isDraining},
             {"outcome", Forwarding::heartbeatOutcomeText(outcome)},
             {"accepting", after}});
    return outcome != Forwarding::HeartbeatOutcome::OtherBackend;
}

void runForwardingAgent(const Configuration::ForwardingAgentSettings &settings,
                        const std::string &settingsPath)
{
    const Configuration::ForwardingSettings &process = settings.process;
    SettingsFile file(settingsPath);
    Traffic traffic({optionsOf(settings), settings.outbound, process.callers.port});
    traffic.withCore([&](Forwarding::AgentCore &core) { core.setSeeds(seedTunnels(process)); });
    traffic.start();
    const Platform::PlatformServer server(
        {process.readiness, process.control},
        {[] { return true; },
         [&traffic](const Forwarding::BackendHeartbeat &heartbeat) {
             return handleHeartbeat(traffic, heartbeat);
         },
         [&traffic](const Forwarding::BackendDeparture &departure) {
             log(Level::Info, "backend-leaves",
                 {{"backend", departure.id}, {"born", departure.startTimeMs.value_or(0)}});
             traffic.withCore([&departure](Forwarding::AgentCore &core) {
                 core.onBackendLeaving(std::chrono::steady_clock::now(), departure);
             });
         }});
    const auto state = [&] { return stateOf(process.name, traffic); };
    const auto metrics = std::make_shared<ProcessMetrics>(state);
    metrics->add("answer-seconds", "Time from a request's last bytes to its answer.",
                 traffic.answerSeconds());
    const auto noSnapshot = [] { return nlohmann::json::object(); };
    const Observability::AdminServer pages(process.pages, metrics, state, noSnapshot);
    const Observability::AdminServer metricsPage(process.metrics, metrics, state, noSnapshot);
    log(Level::Info, "started",
        {{"role", "forwarding-agent"},
         {"name", process.name},
         {"service", settings.service},
         {"seeds", process.seeds.size()}});

    if (!process.isFirstStart)
        checkServer(traffic, settings.backend);
    runUntilStopped<Configuration::ForwardingAgentSettings>(
        file, ControlInterval,
        [&traffic](const auto &changed) {
            traffic.withCore(
                [&](Forwarding::AgentCore &core) { core.setSeeds(seedTunnels(changed.process)); });
        },
        [&] { checkServer(traffic, settings.backend); });
    log(Level::Info, "stopping", {{"role", "forwarding-agent"}, {"name", process.name}});
    traffic.stop();
}

} // namespace Daemon
