#pragma once

#include "configuration/generationgate.h"
#include "control/watchpolicy.h"
#include "observability/log.h"
#include "store/attempt.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace Control {

/// Pause after a change before the next watch, so that one call returns all changes that follow in
/// quick succession. It is well below the shortest time in which a change must be in force, 3 s.
constexpr std::chrono::milliseconds WatchCoalescingDelay{300};

/// Keeps the configuration in force up to date with one object of a store, on its own thread.
///
/// Accepts only configurations with a greater generation, so that a stale response changes nothing.
/// Public methods are thread-safe.
template<Store::ObjectClient Client>
class ConfigurationFollower
{
public:
    struct Options
    {
        std::string key;        ///< of the configuration
        std::string prefix;     ///< of the objects to watch
        std::uint64_t seed = 0; ///< randomizes the pauses after failures
        /// Parses an object's value; returns nothing if it is malformed. Called on the follower's
        /// thread.
        std::function<std::optional<Model::Configuration>(const std::string &)> decode;
        /// Called on any thread, with a lock held: must not call back into the follower.
        std::function<void(const Model::Configuration &)> changed;
    };

    /// Starts the thread. \a client must outlive the follower and must not be used elsewhere.
    ConfigurationFollower(Client &client, Options options)
        : client_(client)
        , options_(std::move(options))
        , policy_(0, options_.seed)
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
        client_.abort();
        thread_.join();
    }
    ConfigurationFollower(const ConfigurationFollower &) = delete;
    ConfigurationFollower &operator=(const ConfigurationFollower &) = delete;

    /// Puts \a configuration in force if its generation is greater than the current one. \a source
    /// is its origin for the log, such as a peer's name. Returns whether it was accepted.
    bool offer(const Model::Configuration &configuration, const std::string &source)
    {
        const std::lock_guard guard(gateMutex_);
        const auto before = gate_.current().generation;
        if (!gate_.offer(configuration))
            return false;
        Observability::log(Observability::Level::Info, "configuration-applied",
                           {{"generation", std::uint64_t(configuration.generation)},
                            {"before", std::uint64_t(before)},
                            {"routes", configuration.routes.size()},
                            {"source", source}});
        options_.changed(gate_.current());
        return true;
    }

    /// Returns the configuration in force; generation 0 before the first one.
    Model::Configuration current() const
    {
        const std::lock_guard guard(gateMutex_);
        return gate_.current();
    }

    /// Whether the last call to the store succeeded.
    bool lastCallSucceeded() const { return lastCallSucceeded_; }

private:
    void run()
    {
        while (!isStopping()) {
            const WatchStep step = policy_.next();
            if (std::holds_alternative<ListPlatform>(step))
                list();
            else if (const auto *watchStep = std::get_if<WatchPlatform>(&step))
                watch(watchStep->after);
            else if (const auto *wait = std::get_if<WaitFor>(&step))
                pause(wait->duration);
        }
    }

    void list()
    {
        const auto listing = Store::attempt([this] { return client_.list(options_.prefix); });
        if (const auto *failure = std::get_if<Store::FailureKind>(&listing))
            return onFailure(*failure);
        const auto &content = std::get<Store::Listing>(listing);
        for (const Store::Object &object : content.objects)
            handleObject(object.key, object.value);
        onSuccess();
        policy_.onListed(content.revision);
    }

    void watch(Store::Revision after)
    {
        const auto changes =
            Store::attempt([&] { return client_.watch(options_.prefix, after, WatchTimeout); });
        if (const auto *failure = std::get_if<Store::FailureKind>(&changes))
            return onFailure(*failure);
        const auto &content = std::get<Store::Changes>(changes);
        for (const Store::Change &change : content.changes) {
            if (change.value)
                handleObject(change.key, *change.value);
        }
        onSuccess();
        policy_.onWatched(content.revision);
        if (!content.changes.empty())
            pause(WatchCoalescingDelay);
    }

    void handleObject(const std::string &key, const std::string &value)
    {
        if (key != options_.key)
            return;
        if (const auto configuration = options_.decode(value))
            offer(*configuration, "store");
        else
            Observability::log(Observability::Level::Error, "configuration-unreadable",
                               {{"key", key}, {"bytes", value.size()}});
    }

    void onSuccess()
    {
        if (!lastCallSucceeded_.exchange(true))
            Observability::log(Observability::Level::Info, "store-reached");
    }

    void onFailure(Store::FailureKind kind)
    {
        if (lastCallSucceeded_.exchange(false) && !isStopping())
            Observability::log(Observability::Level::Warning, "store-lost",
                               {{"cause", Store::failureText(kind)}});
        policy_.onFailed(kind);
    }

    void pause(std::chrono::milliseconds wait)
    {
        std::unique_lock lock(mutex_);
        wake_.wait_for(lock, wait, [this] { return stopping_; });
    }

    bool isStopping() const
    {
        const std::lock_guard guard(mutex_);
        return stopping_;
    }

    Client &client_;
    Options options_;
    WatchPolicy policy_;
    std::atomic<bool> lastCallSucceeded_ = false;
    mutable std::mutex gateMutex_; ///< guards gate_
    Configuration::GenerationGate gate_;
    mutable std::mutex mutex_; ///< guards stopping_
    std::condition_variable wake_;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace Control
