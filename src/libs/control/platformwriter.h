#pragma once

#include "control/announcementpolicy.h"
#include "control/clusterview.h"
#include "store/httpobjectclient.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace Control {

/// Writes an agent's announcement and marks suspect peers on the platform, with blocking calls on
/// its own thread.
class PlatformWriter
{
public:
    /// Called on the writer's thread when an operator requested a drain, or when a later
    /// incarnation replaced this one.
    using StatusHandler = std::function<void(const AnnouncementPolicy &)>;

    /// Starts the thread. \a wanted is the announcement to write to \a platform; \a seed randomizes
    /// the pauses after failures.
    PlatformWriter(const Model::Endpoint &platform, Model::Instance wanted, std::uint64_t seed,
                   StatusHandler statusHandler);

    /// Aborts a call in progress and joins the thread. The announcement stays on the platform.
    ~PlatformWriter();
    PlatformWriter(const PlatformWriter &) = delete;
    PlatformWriter &operator=(const PlatformWriter &) = delete;

    /// Sets the state to announce. Thread-safe.
    void setWantedState(Model::InstanceState state);

    /// Marks the peer called \a name as suspect in its announcement, if that still has
    /// \a incarnation. Thread-safe.
    void announceSuspect(const std::string &name, Model::Incarnation incarnation);

    /// Deletes the announcement of the peer called \a name if it is still suspect and has
    /// \a incarnation. Thread-safe.
    void removeSuspect(const std::string &name, Model::Incarnation incarnation);

    /// Compares this agent's announcement in \a view with the wanted one. Thread-safe.
    void onViewChanged(const ClusterView &view);

    /// Deletes the announcement. Waits for the deletion for at most \a limit. Thread-safe.
    void leave(std::chrono::milliseconds limit);

    /// Returns the number of calls to the platform so far. Thread-safe.
    std::uint64_t platformCalls() const { return client_.callCount(); }

private:
    struct Suspicion
    {
        std::string name;
        Model::Incarnation incarnation{};
        bool isRemoval = false;
    };

    void run();
    void execute(const AnnouncementStep &step);
    void add(const Suspicion &suspicion);
    void writeSuspicion(const Suspicion &suspicion);
    void reportStatus();

    Store::HttpObjectClient client_;
    StatusHandler statusHandler_;

    std::mutex mutex_; ///< guards the members up to thread_
    std::condition_variable wake_;
    std::condition_variable upToDate_;
    AnnouncementPolicy policy_;
    std::deque<Suspicion> suspicions_;
    bool stopping_ = false;
    bool reportedDrain_ = false;
    bool reportedReplacement_ = false;

    std::thread thread_;
};

} // namespace Control
