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

/// Writes an agent's announcement, and suspicions of its peers, with blocking calls on a thread of
/// its own.
class PlatformWriter
{
public:
    /// Called on the writer's thread when an operator asked for a drain, or when a later
    /// incarnation replaced this one.
    using StatusHandler = std::function<void(const AnnouncementPolicy &)>;

    PlatformWriter(const Model::Endpoint &platform, Model::Instance wanted, std::uint64_t seed,
                   StatusHandler noticed);
    ~PlatformWriter();
    PlatformWriter(const PlatformWriter &) = delete;
    PlatformWriter &operator=(const PlatformWriter &) = delete;

    /// Changes the state to announce. Thread-safe.
    void setWantedState(Model::InstanceState state);

    /// Announces that the peer called \a name, in this \a incarnation, is suspect. Thread-safe.
    void announceSuspect(const std::string &name, Model::Incarnation incarnation);

    /// Deletes the announcement of the peer called \a name if it is still suspect. Thread-safe.
    void forget(const std::string &name, Model::Incarnation incarnation);

    /// Compares the announcement in \a view with the wanted one. Thread-safe.
    void onViewChanged(const ClusterView &view);

    /// Deletes the announcement; waits up to \a limit for it. Thread-safe.
    void leave(std::chrono::milliseconds limit);

    /// Returns the calls of the platform so far. Thread-safe.
    std::uint64_t platformCalls() const { return client_.callCount(); }

private:
    struct Suspicion
    {
        std::string name;
        Model::Incarnation incarnation{};
        bool forgets = false;
    };

    void run();
    void carryOut(const AnnouncementStep &step);
    void add(const Suspicion &suspicion);
    void writeSuspicion(const Suspicion &suspicion);
    void notice();

    Store::HttpObjectClient client_;
    StatusHandler noticed_;

    std::mutex mutex_; ///< guards what follows
    std::condition_variable wake_;
    std::condition_variable settled_;
    AnnouncementPolicy keeper_;
    std::deque<Suspicion> suspicions_;
    bool stopping_ = false;
    bool noticedDrain_ = false;
    bool noticedReplacement_ = false;

    std::thread thread_;
};

} // namespace Control
