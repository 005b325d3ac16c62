#include "balancerprocess.h"

#include "processmetrics.h"

#include "balancer/forwarder.h"
#include "control/platformwatcher.h"
#include "observability/adminserver.h"
#include "observability/log.h"

#include <nlohmann/json.hpp>

#include <random>
#include <thread>

namespace Daemon {

using Observability::Level;
using Observability::log;

/// Time within which the fabric stops sending to a balancer that shuts down.
static constexpr std::chrono::seconds WithdrawalTime{2};

static nlohmann::json balancerState(const Configuration::ProcessSettings &settings,
                                    const Balancer::Forwarder &forwarder,
                                    const Control::PlatformWatcher &watcher)
{
    const Balancer::Counters &counters = forwarder.counters();
    const auto table = watcher.table();
    nlohmann::json drops;
    for (std::size_t cause = 0; cause < counters.drops.size(); ++cause)
        drops[Balancer::dropCauseText(Balancer::DropCause(cause))] = counters.drops[cause].load();
    nlohmann::json faults;
    for (std::size_t fault = 0; fault < counters.faults.size(); ++fault)
        faults[Tunnel::faultText(Tunnel::PacketFault(fault))] = counters.faults[fault].load();
    return {{"role", "balancer"},
            {"name", settings.name},
            {"state", "ready"},
            {"generation", std::uint64_t(table->generation())},
            {"table",
             {{"version", table->version()},
              {"services", table->serviceCount()},
              {"bytes", table->memoryBytes()},
              {"ageMilliseconds", watcher.timeSinceLastAnswer().count()}}},
            {"platformCalls", watcher.platformCalls()},
            {"packets",
             {{"received", counters.received.load()},
              {"forwarded", counters.forwarded.load()},
              {"dropped", drops},
              {"faults", faults}}}};
}

void runBalancer(const Configuration::BalancerSettings &settings,
                 const std::function<void()> &waitForStop)
{
    const Configuration::ProcessSettings &process = settings.process;
    Balancer::Forwarder forwarder(process.tunnel);
    Control::PlatformWatcher watcher(
        process.platform, process.peers, std::random_device()(),
        [&forwarder](const Control::ClusterView &view) { forwarder.setTable(view.table()); });
    forwarder.start([&watcher](const Tunnel::StateNotice &notice) { watcher.addNotice(notice); });
    const auto state = [&] { return balancerState(process, forwarder, watcher); };
    auto metrics = std::make_shared<ProcessMetrics>(state);
    const Observability::AdminServer admin(process.admin, metrics, state, [&watcher] {
        return nlohmann::json::parse(Control::encodeListing(watcher.snapshot()));
    });
    log(Level::Info, "balancer-started",
        {{"name", process.name}, {"tunnel", Model::endpointText(process.tunnel)}});

    waitForStop();
    log(Level::Info, "balancer-stopping", {{"name", process.name}});
    std::this_thread::sleep_for(WithdrawalTime);
}

} // namespace Daemon
