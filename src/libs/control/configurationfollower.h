#pragma once

#include "control/configurationsynchronizer.h"

#include <condition_variable>
#include <thread>

namespace Control {

/// Runs a ConfigurationSynchronizer on its own thread. Public methods are thread-safe.
template<Store::ObjectClient Client>
class ConfigurationFollower
{
public:
    using Options = typename ConfigurationSynchronizer<Client>::Options;

    /// Starts the thread. \a client must outlive the follower and must not be used elsewhere.
    ConfigurationFollower(Client &client, Options options)
        : client_(client)
        , synchronizer_(client, std::move(options))
        , thread_([this] { run(); })
    {}

    /// Aborts a call in progress and joins the thread.
    ~ConfigurationFollower()
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
    ConfigurationFollower(const ConfigurationFollower &) = delete;
    ConfigurationFollower &operator=(const ConfigurationFollower &) = delete;

    /// Puts \a configuration in force if its generation is greater than the current one. \a source
    /// is its origin for the log, such as a peer's name. Returns whether it was accepted.
    bool offer(const Model::Configuration &configuration, const std::string &source)
    {
        return synchronizer_.offer(configuration, source);
    }

    /// Returns the configuration in force; generation 0 before the first one.
    Model::Configuration current() const { return synchronizer_.current(); }

    /// Whether the last call to the store succeeded.
    bool lastCallSucceeded() const { return synchronizer_.lastCallSucceeded(); }

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
    ConfigurationSynchronizer<Client> synchronizer_;
    mutable std::mutex mutex_; ///< guards stopping_
    std::condition_variable wake_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace Control
