#include "agentprocess.h"
#include "balancerprocess.h"
#include "forwardingagentprocess.h"
#include "forwardingbalancerprocess.h"

#include "observability/log.h"

#include <Poco/Exception.h>

#include <boost/leaf/handle_errors.hpp>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <kj/exception.h>

#include <csignal>
#include <cstdio>
#include <system_error>

DEFINE_string(settings, "", "path of the settings file, JSON with comments");
DEFINE_string(log_level, "info", "lowest level to log: debug, info, warning or error");
DEFINE_bool(check, false, "check the settings file and exit");

namespace Daemon {

static constexpr int ExitFailed = 1;
static constexpr int ExitBadSettings = 2;

using Observability::Level;
using Observability::log;

/// Blocks SIGTERM, SIGINT and SIGHUP in this thread and the threads that it starts; returns them.
static sigset_t blockStopSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    return signals;
}

static int run(const Configuration::Settings &settings, const sigset_t &signals)
{
    const auto waitForStop = [&signals] {
        // The roles that use this don't reload their settings, so SIGHUP is ignored.
        for (int signal = SIGHUP; signal == SIGHUP;)
            sigwait(&signals, &signal);
    };
    try {
        if (const auto *balancer = std::get_if<Configuration::BalancerSettings>(&settings))
            runBalancer(*balancer, waitForStop);
        else if (const auto *agent = std::get_if<Configuration::AgentSettings>(&settings))
            runAgent(*agent, waitForStop);
        else if (const auto *forwarding =
                     std::get_if<Configuration::ForwardingBalancerSettings>(&settings))
            runForwardingBalancer(*forwarding, FLAGS_settings);
        else
            runForwardingAgent(std::get<Configuration::ForwardingAgentSettings>(settings),
                               FLAGS_settings);
        log(Level::Info, "stopped");
        Observability::flushLog();
        return 0;
    } catch (const std::system_error &error) {
        log(Level::Error, "start-failed", {{"error", error.what()}});
    } catch (const Poco::Exception &error) {
        log(Level::Error, "start-failed", {{"error", error.displayText()}});
    } catch (const kj::Exception &error) {
        log(Level::Error, "start-failed", {{"error", error.getDescription().cStr()}});
    }
    return ExitFailed;
}

static int main(int argc, char **argv)
{
    // Before anything else: a signal that arrives while the settings are read waits for its reader.
    const sigset_t signals = blockStopSignals();
    gflags::SetUsageMessage("--settings FILE [--check] [--log_level LEVEL]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto level = Observability::levelFromName(FLAGS_log_level);
    if (!level || FLAGS_settings.empty()) {
        fmt::print(stderr, "gypsumwingd: {}\n",
                   level ? "--settings is required"
                         : "--log_level must be debug, info, warning or error");
        return ExitBadSettings;
    }
    Observability::setLogLevel(*level);
    return boost::leaf::try_handle_all(
        [&signals]() -> boost::leaf::result<int> {
            BOOST_LEAF_AUTO(document, Configuration::Document::load(FLAGS_settings));
            BOOST_LEAF_AUTO(settings, Configuration::readSettings(document));
            return FLAGS_check ? 0 : run(settings, signals);
        },
        [](const Configuration::FileError &error) {
            fmt::print(stderr, "{}\n", Configuration::errorText(error));
            return ExitBadSettings;
        },
        [] { return ExitFailed; });
}

} // namespace Daemon

int main(int argc, char **argv)
{
    return Daemon::main(argc, argv);
}
