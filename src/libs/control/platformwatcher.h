#pragma once

#include "control/clusterview.h"
#include "control/watchpolicy.h"
#include "store/httpobjectclient.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace Control {

/// The control thread of a process: keeps a ClusterView up to date with blocking calls. A second
/// thread applies notices while the first one waits for the platform.
class PlatformWatcher
{
public:
    /// Called after each change; must not call back into the watcher.
    using ViewChangedHandler = std::function<void(const ClusterView &)>;

    /// Begins to watch \a platform. While it is down, asks the admin endpoints of \a peers.
    PlatformWatcher(const Model::Endpoint &platform, std::vector<Model::Endpoint> peers, std::uint64_t seed,
            ViewChangedHandler changed);

    /// Ends the thread, and a call in progress.
    ~PlatformWatcher();
    PlatformWatcher(const PlatformWatcher &) = delete;
    PlatformWatcher &operator=(const PlatformWatcher &) = delete;

    /// Returns the view's snapshot. Thread-safe.
    Store::Listing snapshot() const;

    /// Returns the table. Thread-safe.
    std::shared_ptr<const Routing::RoutingTable> table() const;

    /// Returns how long ago the platform or a peer last answered. Thread-safe.
    std::chrono::milliseconds timeSinceLastAnswer() const;

    /// Returns the calls of the platform so far. Thread-safe.
    std::uint64_t platformCalls() const { return client_.callCount(); }

    /// Takes a notice of an instance's state, to be applied on a thread of the watcher.
    /// Thread-safe.
    void addNotice(const Tunnel::StateNotice &notice);

    /// Ends a pause early, since a newer configuration is known to exist. Thread-safe.
    void endPause();

private:
    void run();
    void applyNotices();
    void list();
    void watch(Store::Revision after);
    void askPeer(std::size_t index);
    void pause(std::chrono::milliseconds wait);
    void fail(Store::FailureKind kind);
    void noteAnswer();

    template<typename Update>
    void apply(const Update &update);

    std::vector<Model::Endpoint> peers_;
    ViewChangedHandler changed_;
    Store::HttpObjectClient client_;
    WatchPolicy policy_;

    mutable std::mutex mutex_; ///< guards view_ and the pause
    ClusterView view_;
    std::condition_variable wake_;
    bool stopping_ = false;
    bool hurried_ = false;
    std::atomic<std::chrono::steady_clock::time_point> lastAnswer_;
    std::deque<Tunnel::StateNotice> notices_;
    std::condition_variable noticed_;
    std::thread thread_;
    std::thread noticeThread_;
};

} // namespace Control
