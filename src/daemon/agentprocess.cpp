#include "agentprocess.h"

#include "processmetrics.h"

#include "agent/agenttraffic.h"
#include "control/platformwatcher.h"
#include "control/platformwriter.h"
#include "membership/announcement.h"
#include "observability/adminserver.h"
#include "observability/log.h"
#include "store/attempt.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <random>
#include <thread>

namespace Daemon {

using Observability::Level;
using Observability::log;

static constexpr std::chrono::milliseconds StartCallTimeout{1000};
static constexpr std::chrono::milliseconds WorkCheckInterval{50};
static constexpr std::chrono::milliseconds LeaveTimeout{3000};

/// Time for which packets of moved flows may still arrive after the announcement is deleted.
static constexpr std::chrono::seconds StrayPacketTime{2};

/// Returns an incarnation greater than the one announced on the platform, if it can be read.
static Model::Incarnation nextIncarnation(const Configuration::ProcessSettings &process)
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch());
    std::uint64_t incarnation = std::uint64_t(now.count());
    Store::HttpObjectClient client(process.platform, StartCallTimeout);
    const auto read =
        Store::attempt([&] { return client.read(Membership::instanceKey(process.name)); });
    if (const auto *object = std::get_if<Store::Object>(&read)) {
        if (const auto earlier = Membership::decodeAnnouncement(object->value))
            incarnation = std::max(incarnation, std::uint64_t(earlier->incarnation) + 1);
    }
    return Model::Incarnation(incarnation);
}

static Model::Instance instanceOf(const Configuration::AgentSettings &settings)
{
    Model::Instance instance;
    instance.name = settings.process.name;
    instance.service = settings.service;
    instance.failureDomain = settings.process.failureDomain;
    instance.tunnel = settings.process.tunnel;
    instance.peer = settings.peer;
    instance.capacity = settings.capacity;
    instance.state = Model::InstanceState::Draining;
    instance.incarnation = nextIncarnation(settings.process);
    return instance;
}

namespace {

/// The threads of an agent and the notifications between them.
class AgentProcess
{
public:
    explicit AgentProcess(const Configuration::AgentSettings &settings);

    nlohmann::json state();
    std::string snapshot() const { return Control::encodeListing(watcher_.snapshot()); }

    /// Moves the open work to peers, waits up to the stop grace time for it to end, and deletes the
    /// announcement.
    void stop();

private:
    Configuration::AgentSettings settings_;
    Model::Instance instance_;
    Agent::AgentTraffic traffic_;
    Control::PlatformWriter writer_;
    Control::PlatformWatcher watcher_;
};

AgentProcess::AgentProcess(const Configuration::AgentSettings &settings)
    : settings_(settings)
    , instance_(instanceOf(settings))
    , traffic_({instance_, settings.fabric, settings.backend, settings.warmUp,
                settings.maximumPacketBytes})
    , writer_(
          settings.process.platform, instance_, std::random_device()(),
          [this](const Control::AnnouncementPolicy &policy) {
              log(Level::Warning, "drain-asked",
                  {{"byOperator", policy.isDrainRequested()}, {"replaced", policy.isReplaced()}});
              traffic_.drain();
          })
    , watcher_(settings.process.platform, settings.process.peers, std::random_device()(),
               [this](const Control::ClusterView &view) {
                   writer_.onViewChanged(view);
                   traffic_.setTable(view.table());
               })
{
    traffic_.start({[this](Model::InstanceState state) { writer_.setWantedState(state); },
                    [this](const Membership::SuspectPeer &peer) {
                        writer_.announceSuspect(peer.name, peer.incarnation);
                    },
                    [this](const Membership::RemovePeer &peer) {
                        writer_.removeSuspect(peer.name, peer.incarnation);
                    },
                    [this](const Tunnel::StateNotice &notice) { watcher_.addNotice(notice); },
                    [this] { watcher_.endPause(); }});
}

nlohmann::json AgentProcess::state()
{
    nlohmann::json state = traffic_.state();
    state["table"] = {{"version", watcher_.table()->version()},
                      {"ageMilliseconds", watcher_.timeSinceLastAnswer().count()}};
    state["platformCalls"] = watcher_.platformCalls() + writer_.platformCalls();
    return state;
}

void AgentProcess::stop()
{
    traffic_.drain();
    const auto limit = std::chrono::steady_clock::now() + settings_.stopGrace;
    while (traffic_.openWorkCount() > 0 && std::chrono::steady_clock::now() < limit)
        std::this_thread::sleep_for(WorkCheckInterval);
    traffic_.closeRemainingFlows();
    writer_.leave(LeaveTimeout);
    std::this_thread::sleep_for(StrayPacketTime);
}

} // namespace

void runAgent(const Configuration::AgentSettings &settings,
              const std::function<void()> &waitForStop)
{
    Stack::seedInitialSequenceNumbers(std::random_device()());
    AgentProcess process(settings);
    const auto state = [&process] { return process.state(); };
    const Observability::AdminServer admin(
        settings.process.admin, std::make_shared<ProcessMetrics>(state), state,
        [&process] { return nlohmann::json::parse(process.snapshot()); });
    log(Level::Info, "agent-started",
        {{"name", settings.process.name}, {"service", settings.service}});

    waitForStop();
    log(Level::Info, "agent-stopping", {{"name", settings.process.name}});
    process.stop();
}

} // namespace Daemon
