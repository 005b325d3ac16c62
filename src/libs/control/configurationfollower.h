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

/// Pause after a change before the next watch: changes that follow at once cost one call together,
/// and the shortest bound in which one must be in force, 3 s, is kept.
constexpr std::chrono::milliseconds WatchCoalescingDelay{300};

/// Keeps the configuration in force in step with one object of a store, on a thread of its own.
///
/// Newer configurations only are let through, whatever a stale answer says. Public methods are
/// thread-safe.
template<Store::ObjectClient Client>
class ConfigurationFollower
{
public:
    struct Options
    {
        std::string key;    ///< of the configuration
        std::string prefix; ///< of the objects to watch
        std::uint64_t seed = 0;
        std::function<std::optional<Model::Configuration>(const std::string &)> decode;
        std::function<void(const Model::Configuration &)> changed; ///< called on any thread
    };

    /// Begins to follow. \a client is used by this follower alone.
    ConfigurationFollower(Client &client, Options options)
        : client_(client)
        , options_(std::move(options))
        , policy_(0, options_.seed)
        , thread_([this] { run(); })
    {}

    /// Ends the thread, and a call in progress.
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

    /// Offers a configuration from \a source, such as a peer. Returns whether it is newer.
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

    /// Whether the last call of the store succeeded.
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
                pause(wait->wait);
        }
    }

    void list()
    {
        const auto listing = Store::attempt([this] { return client_.list(options_.prefix); });
        if (const auto *failure = std::get_if<Store::FailureKind>(&listing))
            return fail(*failure);
        const auto &content = std::get<Store::Listing>(listing);
        for (const Store::Object &object : content.objects)
            take(object.key, object.value);
        succeed();
        policy_.onListed(content.revision);
    }

    void watch(Store::Revision after)
    {
        const auto changes =
            Store::attempt([&] { return client_.watch(options_.prefix, after, WatchTimeout); });
        if (const auto *failure = std::get_if<Store::FailureKind>(&changes))
            return fail(*failure);
        const auto &content = std::get<Store::Changes>(changes);
        for (const Store::Change &change : content.changes) {
            if (change.value)
                take(change.key, *change.value);
        }
        succeed();
        policy_.onWatched(content.revision);
        if (!content.changes.empty())
            pause(WatchCoalescingDelay);
    }

    void take(const std::string &key, const std::string &value)
    {
        if (key != options_.key)
            return;
        if (const auto configuration = options_.decode(value))
            offer(*configuration, "store");
        else
            Observability::log(Observability::Level::Error, "configuration-unreadable",
                               {{"key", key}, {"bytes", value.size()}});
    }

    void succeed()
    {
        if (!lastCallSucceeded_.exchange(true))
            Observability::log(Observability::Level::Info, "store-reached");
    }

    void fail(Store::FailureKind kind)
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
