#pragma once

#include <chrono>
#include <csignal>
#include <ctime>

namespace Daemon {

/// What a process is told by a signal.
enum class ProcessSignal { None, Stop, Reload };

/// Waits up to \a time for a signal that is blocked in all threads. Called on the main thread.
inline ProcessSignal waitForSignal(std::chrono::milliseconds time)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP})
        sigaddset(&signals, signal);
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(time);
    const std::chrono::nanoseconds rest = time - seconds;
    const timespec limit{std::time_t(seconds.count()), long(rest.count())};
    switch (sigtimedwait(&signals, nullptr, &limit)) {
    case SIGTERM:
    case SIGINT:
        return ProcessSignal::Stop;
    case SIGHUP:
        return ProcessSignal::Reload;
    default:
        return ProcessSignal::None;
    }
}

} // namespace Daemon
