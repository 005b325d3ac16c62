#include "forwardingbalancerprocess.h"

#include "forwardingprocess.h"
#include "processmetrics.h"

#include "configuration/routeconfiguration.h"
#include "control/backgroundfollower.h"
#include "control/configurationsynchronizer.h"
#include "control/evacuationsynchronizer.h"
#include "control/memberdirectory.h"
#include "control/routerecord.h"
#include "forwarding/balancertraffic.h"
#include "forwarding/withdrawal.h"
#include "observability/adminserver.h"
#include "platform/objectstore.h"
#include "platform/operatorconfiguration.h"
#include "platform/packetcodec.h"
#include "platform/platformserver.h"
#include "store/httpobjectclient.h"

#include <random>
#include <thread>

namespace Daemon {

using Observability::Level;
using Observability::log;
using Traffic = Forwarding::BalancerTraffic<Platform::PacketCodec>;
using Directory = Control::MemberDirectory<Platform::ObjectStore>;
using Recorder = Control::RouteRecorder<Platform::ObjectStore>;
using Follower =
    Control::BackgroundFollower<Platform::ObjectStore,
                                Control::ConfigurationSynchronizer<Platform::ObjectStore>>;
using EvacuationFollower =
    Control::BackgroundFollower<Platform::ObjectStore,
                                Control::EvacuationSynchronizer<Platform::ObjectStore>>;

/// Timeout for calls of the store, which normally responds within milliseconds.
static constexpr std::chrono::milliseconds StoreTimeout{1500};

/// Timeout for fetching a configuration from a peer: a third of the shortest time limit for putting
/// a configuration into force.
static constexpr std::chrono::milliseconds PeerTimeout{1000};

/// Time for which a newer configuration may be missing from the store before it is fetched from a
/// peer.
static constexpr std::chrono::milliseconds PeerFetchDelay{200};

/// Interval at which the main thread checks for changed settings and newer configurations.
static constexpr std::chrono::milliseconds ControlInterval{100};

static constexpr const char *ConfigurationPage = "/snapshot";

static nlohmann::json stateOf(const std::string &name, Traffic &traffic, const Follower &follower,
                              const Platform::ObjectStore &store)
{
    const Forwarding::BalancerCounters &counters = traffic.counters();
    return traffic.withCore([&](const Forwarding::BalancerCore &core) {
        nlohmann::json agents = nlohmann::json::object();
        for (const Model::Instance &agent : core.roster().agents())
            agents[agent.name] = Model::stateText(agent.state);
        return nlohmann::json{{"role", "forwarding-balancer"},
                              {"name", name},
                              {"generation", std::uint64_t(core.configuration().generation)},
                              {"routes", core.configuration().routes.size()},
                              {"storeInStep", follower.synchronizer().lastCallSucceeded()},
                              {"storeCalls", store.callCount()},
                              {"storeTimeline", std::uint64_t(store.timeline())},
                              {"evacuatedDomains", core.evacuations().domains},
                              {"evacuationRevision", core.evacuations().asOf.number()},
                              {"agents", agents},
                              {"balancers", core.roster().balancers().size()},
                              {"cachedFlows", core.cachedFlows()},
                              {"knowsFormerTargets", core.formerTargets().isComplete},
                              {"addressesWithFormerTargets", core.formerTargets().byAddress.size()},
                              {"omittedLogLines", Observability::omittedLogLines()},
                              {"packets",
                               {{"received", counters.received.load()},
                                {"forwarded", counters.forwarded.load()},
                                {"unreadable", counters.unreadable.load()},
                                {"resets", counters.resets.load()},
                                {"searched", counters.searched.load()},
                                {"dropped", counters.dropped.load()}}}};
    });
}

/// Fetches a newer configuration from the peer that has it, if the store didn't deliver it in time.
static void fetchNewerConfiguration(Traffic &traffic, Follower &follower)
{
    const auto newer = traffic.withCore(
        [](const Forwarding::BalancerCore &core) { return core.newerConfiguration(); });
    if (!newer || std::chrono::steady_clock::now() - newer->since < PeerFetchDelay)
        return;
    Store::HttpObjectClient peer(newer->pages, PeerTimeout);
    const auto page = Store::attempt([&] { return peer.page(ConfigurationPage); });
    if (const auto *failure = std::get_if<Store::FailureKind>(&page)) {
        log(Level::Warning, "peer-configuration-failed",
            {{"peer", Model::endpointText(newer->pages)}, {"cause", Store::failureText(*failure)}});
        return;
    }
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
            BOOST_LEAF_AUTO(document,
                            Configuration::Document::parse("peer", std::get<std::string>(page)));
            BOOST_LEAF_AUTO(configuration, Configuration::decodeRoutes(document));
            follower.synchronizer().offer(configuration, Model::endpointText(newer->pages));
            return {};
        },
        [](const Configuration::FileError &error) {
            log(Level::Error, "peer-configuration-refused",
                {{"error", Configuration::errorText(error)}});
        },
        [] { log(Level::Error, "peer-configuration-refused"); });
}

/// Makes the next call for the member directory, if one is due: a read after the start, or a read
/// or write if this balancer is responsible for the directory. \a timeline is the store's.
static void updateDirectory(Traffic &traffic, Directory &directory, Store::Timeline timeline)
{
    const auto [members, isResponsible] =
        traffic.withCore([](const Forwarding::BalancerCore &core) {
            return std::pair(core.roster().members(), core.roster().isFirstBalancer());
        });
    const auto now = std::chrono::steady_clock::now();
    if (const auto read = directory.step(now, isResponsible, members, timeline)) {
        traffic.withCore([&](Forwarding::BalancerCore &core) {
            core.setLastKnownMembers(std::chrono::steady_clock::now(), read->members,
                                     read->isComplete);
        });
    }
}

/// Makes the next call for the record of targets, if one is due. \a timeline is the store's.
static void updateRouteRecord(Traffic &traffic, Recorder &recorder, Store::Timeline timeline)
{
    const bool isFirst = traffic.withCore([&recorder](const Forwarding::BalancerCore &core) {
        recorder.update(core);
        return core.roster().isFirstBalancer();
    });
    if (const auto record = recorder.step(std::chrono::steady_clock::now(), isFirst, timeline)) {
        traffic.withCore([&](Forwarding::BalancerCore &core) {
            core.setRecordedTargets(std::chrono::steady_clock::now(), *record);
        });
    }
}

static EvacuationFollower::Options evacuationOptions(Traffic &traffic,
                                                     std::chrono::milliseconds watchTimeout)
{
    EvacuationFollower::Options options;
    options.watch.watchTimeout = watchTimeout;
    options.watch.prefix = Platform::EvacuationPrefix;
    options.watch.seed = std::random_device()();
    options.changed = [&traffic](const Model::Evacuations &evacuations) {
        traffic.withCore(
            [&evacuations](Forwarding::BalancerCore &core) { core.setEvacuations(evacuations); });
    };
    return options;
}

void runForwardingBalancer(const Configuration::ForwardingBalancerSettings &settings,
                           const std::string &settingsPath)
{
    const Configuration::ForwardingSettings &process = settings.process;
    SettingsFile file(settingsPath);
    Traffic traffic({{selfMember(process, Tunnel::Role::Balancer), process.isFirstStart,
                      settings.maxFlowAge, settings.followsEvacuations},
                     process.callers});
    traffic.withCore([&](Forwarding::BalancerCore &core) { core.setSeeds(seedTunnels(process)); });
    traffic.start();

    Platform::ObjectStore store(process.store, StoreTimeout);
    const auto watchTimeout = Control::watchTimeoutFor(settings.storeHistory);
    Follower::Options options;
    options.watch.watchTimeout = watchTimeout;
    options.key = Platform::ConfigurationKey;
    options.watch.prefix = Platform::ConfigurationPrefix;
    options.watch.seed = std::random_device()();
    options.decode = Platform::readOperatorConfiguration;
    options.changed = [&traffic](const Model::Configuration &configuration,
                                 Routing::Succession succession) {
        traffic.setConfiguration(configuration, succession);
    };
    Follower follower(store, std::move(options));
    Platform::ObjectStore evacuationStore(process.store, StoreTimeout);
    std::optional<EvacuationFollower> evacuationFollower;
    if (settings.followsEvacuations)
        evacuationFollower.emplace(evacuationStore, evacuationOptions(traffic, watchTimeout));
    Platform::ObjectStore directoryStore(process.store, StoreTimeout);
    Directory directory(directoryStore, Platform::DirectoryKey, process.isFirstStart);
    Recorder recorder(directoryStore, Platform::RouteRecordKey, process.isFirstStart);
    std::atomic<bool> isStopping = false;
    const Platform::PlatformServer server(
        {process.readiness, process.control},
        {[&] {
             return !isStopping && traffic.withCore([](const Forwarding::BalancerCore &core) {
                 return core.canPlaceFlows(std::chrono::steady_clock::now())
                        && core.roster().hasReportedAgents();
             });
         },
         {},
         {}});
    const auto state = [&] { return stateOf(process.name, traffic, follower, store); };
    const auto metrics = std::make_shared<ProcessMetrics>(state);
    const auto snapshot = [&follower] {
        return Configuration::encodeRoutes(follower.synchronizer().current());
    };
    const Observability::AdminServer pages(process.pages, metrics, state, snapshot);
    const Observability::AdminServer metricsPage(process.metrics, metrics, state, snapshot);
    log(Level::Info, "started",
        {{"role", "forwarding-balancer"}, {"name", process.name}, {"seeds", process.seeds.size()}});

    if (!process.isFirstStart)
        updateDirectory(traffic, directory, store.timeline());
    runUntilStopped<Configuration::ForwardingBalancerSettings>(
        file, ControlInterval,
        [&traffic](const auto &changed) {
            traffic.withCore([&](Forwarding::BalancerCore &core) {
                core.setSeeds(seedTunnels(changed.process));
            });
        },
        [&] {
            fetchNewerConfiguration(traffic, follower);
            updateDirectory(traffic, directory, store.timeline());
            updateRouteRecord(traffic, recorder, store.timeline());
        });
    log(Level::Info, "stopping", {{"role", "forwarding-balancer"}, {"name", process.name}});
    isStopping = true;
    Forwarding::Withdrawal withdrawal(std::chrono::steady_clock::now(),
                                      traffic.counters().received);
    while (!withdrawal.isComplete(std::chrono::steady_clock::now(), traffic.counters().received))
        std::this_thread::sleep_for(ControlInterval);
    traffic.stop(false);
}

} // namespace Daemon
