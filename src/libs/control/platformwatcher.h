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

/// The control thread of a process: keeps a ClusterView up to date with blocking calls to the
/// platform. A second thread applies state notices while the first one waits for the platform.
class PlatformWatcher
{
public:
    /// Called after each change, on a thread of the watcher and with its lock held: must not call
    /// back into the watcher.
    using ViewChangedHandler = std::function<void(const ClusterView &)>;

    /// Starts to watch \a platform. While it is down, reads the snapshots of \a peers from their
    /// admin endpoints. \a seed randomizes the pauses and the order of the peers.
    PlatformWatcher(const Model::Endpoint &platform, std::vector<Model::Endpoint> peers,
                    std::uint64_t seed, ViewChangedHandler changed);

    /// Aborts a call in progress and joins the threads.
    ~PlatformWatcher();
    PlatformWatcher(const PlatformWatcher &) = delete;
    PlatformWatcher &operator=(const PlatformWatcher &) = delete;

    /// Returns the view's snapshot. Thread-safe.
    Store::Listing snapshot() const;

    /// Returns the current routing table. Thread-safe.
    std::shared_ptr<const Routing::RoutingTable> table() const;

    /// Returns the time since the last response of the platform or a peer. Thread-safe.
    std::chrono::milliseconds timeSinceLastAnswer() const;

    /// Returns the number of calls to the platform so far. Thread-safe.
    std::uint64_t platformCalls() const { return client_.callCount(); }

    /// Queues a notice of an instance's state, to be applied on a thread of the watcher. It is
    /// dropped if too many are queued. Thread-safe.
    void addNotice(const Tunnel::StateNotice &notice);

    /// Ends the current or the next pause early, because a newer configuration exists. Thread-safe.
    void endPause();

private:
    void run();
    void applyNotices();
    void list();
    void watch(const WatchPlatform &step);
    void fetchPeerSnapshot(std::size_t index);
    void pause(std::chrono::milliseconds wait);
    void onFailure(Store::FailureKind kind, std::chrono::steady_clock::time_point start);
    void recordAnswer();

    template<typename Update>
    void apply(const Update &update);

    std::vector<Model::Endpoint> peers_;
    ViewChangedHandler changed_;
    Store::HttpObjectClient client_;
    WatchPolicy policy_;

    mutable std::mutex mutex_; ///< guards view_, stopping_, pauseEnded_ and notices_
    ClusterView view_;
    std::condition_variable wake_;
    bool stopping_ = false;
    bool pauseEnded_ = false;
    std::atomic<std::chrono::steady_clock::time_point> lastAnswer_;
    std::deque<Tunnel::StateNotice> notices_;
    std::condition_variable noticeAdded_;
    std::thread thread_;
    std::thread noticeThread_;
};

} // namespace Control
