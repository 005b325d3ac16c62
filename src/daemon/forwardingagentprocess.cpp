#include "forwardingagentprocess.h"

#include "processmetrics.h"
#include "processsignals.h"
#include "settingsfile.h"

#include "forwarding/agenttraffic.h"
#include "observability/adminserver.h"
#include "observability/log.h"
#include "platform/packetcodec.h"
#include "platform/platformserver.h"

namespace Daemon {

using Observability::Level;
using Observability::log;
using Traffic = Forwarding::AgentTraffic<Platform::PacketCodec>;

/// How often the main thread looks for changed settings.
static constexpr std::chrono::milliseconds ControlInterval{200};

static std::uint64_t startNumber()
{
    using namespace std::chrono;
    return std::uint64_t(
        duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count());
}

static Forwarding::AgentCore::Options
optionsOf(const Configuration::ForwardingAgentSettings &settings)
{
    const Configuration::ForwardingSettings &process = settings.process;
    Forwarding::AgentCore::Options options;
    options.self.instance.name = process.name;
    options.self.instance.service = settings.service;
    options.self.instance.failureDomain = process.failureDomain;
    options.self.instance.tunnel = process.tunnel;
    options.self.instance.peer = process.pages;
    options.self.instance.incarnation = Model::Incarnation(startNumber());
    options.backend = settings.backend;
    options.isFirstStart = process.isFirstStart;
    options.beatInterval = settings.beatInterval;
    options.longestFlow = settings.longestFlow;
    return options;
}

static std::vector<Model::Endpoint> seedTunnels(const Configuration::ForwardingSettings &settings)
{
    std::vector<Model::Endpoint> tunnels;
    for (const Model::Endpoint &seed : settings.seeds)
        tunnels.push_back({seed.address, settings.tunnel.port});
    return tunnels;
}

static nlohmann::json stateOf(const std::string &name, Traffic &traffic)
{
    const Forwarding::AgentCounters &counters = traffic.counters();
    const Forwarding::AgentStatus status = traffic.with(
        [](Forwarding::AgentCore &core) { return core.status(std::chrono::steady_clock::now()); });
    nlohmann::json drops;
    for (std::size_t cause = 0; cause < counters.drops.size(); ++cause)
        drops[Flows::dropCauseText(Flows::DropCause(cause))] = counters.drops[cause].load();
    return {
        {"role", "forwarding-agent"},
        {"name", name},
        {"accepting", int(status.isAccepting)},
        {"waiting", status.waiting},
        {"answerMicros", status.answerTime.count()},
        {"omittedLogLines", Observability::omittedLogLines()},
        {"flows",
         {{"open", status.openFlows}, {"redirects", status.redirects}, {"held", status.heldSyns}}},
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

/// Logs what a beat changed, and beats that were not taken.
static bool takeBeat(Traffic &traffic, const Forwarding::BackendBeat &beat)
{
    const auto now = std::chrono::steady_clock::now();
    const auto [outcome, before, after] = traffic.with([&](Forwarding::AgentCore &core) {
        const bool wasAccepting = core.status(now).isAccepting;
        const auto taken = core.onBeat(now, beat);
        return std::tuple(taken, wasAccepting, core.status(now).isAccepting);
    });
    if (outcome != Forwarding::BeatOutcome::Taken || before != after)
        log(Level::Info, "beat",
            {{"backend", beat.id},
             {"sequence", beat.sequence},
             {"born", beat.bornMs},
             {"draining", beat.isDraining},
             {"outcome", Forwarding::beatOutcomeText(outcome)},
             {"accepting", after}});
    return outcome != Forwarding::BeatOutcome::OtherPlace;
}

void runForwardingAgent(const Configuration::ForwardingAgentSettings &settings,
                        const std::string &settingsPath)
{
    const Configuration::ForwardingSettings &process = settings.process;
    SettingsFile file(settingsPath);
    Traffic traffic({optionsOf(settings), settings.outbound, process.callers.port});
    traffic.with([&](Forwarding::AgentCore &core) { core.setSeeds(seedTunnels(process)); });
    traffic.start();
    const Platform::PlatformServer server(
        {process.readiness, process.control},
        {[] { return true; },
         [&traffic](const Forwarding::BackendBeat &beat) { return takeBeat(traffic, beat); },
         [&traffic](const std::string &id) {
             log(Level::Info, "backend-leaves", {{"backend", id}});
             traffic.with([&id](Forwarding::AgentCore &core) {
                 core.onLeave(std::chrono::steady_clock::now(), id);
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

    while (true) {
        const ProcessSignal signal = waitForSignal(ControlInterval);
        if (signal == ProcessSignal::Stop)
            break;
        if (signal == ProcessSignal::Reload)
            file.invalidate();
        if (const auto changed = file.readIfChanged()) {
            if (const auto *now = std::get_if<Configuration::ForwardingAgentSettings>(&*changed))
                traffic.with([now](Forwarding::AgentCore &core) {
                    core.setSeeds(seedTunnels(now->process));
                });
        }
    }
    log(Level::Info, "stopping", {{"role", "forwarding-agent"}, {"name", process.name}});
    traffic.stop();
}

} // namespace Daemon
