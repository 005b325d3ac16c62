#pragma once

#include "store/objectclient.h"

#include <chrono>
#include <concepts>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

namespace Control {

/// Keeps something up to date with a store by blocking calls: step() makes the next one and returns
/// how long to wait after it, and onStopping() announces that the calls will be aborted.
template<typename S>
concept Synchronizer = requires(S synchronizer)
{
    {
        synchronizer.step()
        } -> std::same_as<std::chrono::milliseconds>;
    synchronizer.onStopping();
};

/// Runs a synchronizer on its own thread. Public methods are thread-safe.
template<Store::ObjectClient Client, Synchronizer S>
class BackgroundFollower
{
public:
    using Options = typename S::Options;

    /// Starts the thread. \a client must outlive the follower and must not be used elsewhere.
    BackgroundFollower(Client &client, Options options)
        : client_(client)
        , synchronizer_(client, std::move(options))
        , thread_([this] { run(); })
    {}

    /// Aborts a call in progress and joins the thread.
    ~BackgroundFollower()
    {
        {
            const std::lock_guard guard(mutex_);
            stopping_ = true;
        }
        wake_.notify_all();
        synchronizer_.onStopping();
        client_.abort();
        thread_.join();
    }
    BackgroundFollower(const BackgroundFollower &) = delete;
    BackgroundFollower &operator=(const BackgroundFollower &) = delete;

    /// Returns the synchronizer, whose thread-safe methods alone may be called.
    S &synchronizer() { return synchronizer_; }
    const S &synchronizer() const { return synchronizer_; }

private:
    void run()
    {
        while (!isStopping()) {
            const auto pause = synchronizer_.step();
            std::unique_lock lock(mutex_);
            wake_.wait_for(lock, pause, [this] { return stopping_; });
        }
    }

    bool isStopping() const
    {
        const std::lock_guard guard(mutex_);
        return stopping_;
    }

    Client &client_;
    S synchronizer_;
    mutable std::mutex mutex_; ///< guards stopping_
    std::condition_variable wake_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace Control
