#pragma once

#include "configuration/checkedjson.h"
#include "configuration/generationgate.h"
#include "control/watchpolicy.h"
#include "observability/log.h"
#include "routing/routehistory.h"
#include "store/attempt.h"

#include <atomic>
#include <functional>
#include <mutex>
#include <string>

namespace Control {

/// Pause between watches while changes follow in quick succession, so that one call returns several
/// of them. It is well below the shortest time in which a change must be in force, 3 s.
constexpr std::chrono::milliseconds WatchCoalescingDelay{300};

/// Keeps the configuration in force up to date with one object of a store, one call at a time.
///
/// Accepts only configurations with a greater generation, so that a stale response changes nothing.
template<Store::ObjectClient Client>
class ConfigurationSynchronizer
{
public:
    struct Options
    {
        std::string key;        ///< of the configuration
        std::string prefix;     ///< of the objects to watch
        std::uint64_t seed = 0; ///< randomizes the pauses after failures
        /// Returns the time.
        std::function<std::chrono::steady_clock::time_point()> clock =
            std::chrono::steady_clock::now;
        /// Parses an object's value; fails with Configuration::FileError. Called by step().
        std::function<boost::leaf::result<Model::Configuration>(const std::string &)> decode;
        /// Called by step() and offer(), with a lock held: must not call back into this object.
        std::function<void(const Model::Configuration &, Routing::Succession)> changed;
    };

    /// \a client must outlive this object and must not be used elsewhere.
    ConfigurationSynchronizer(Client &client, Options options)
        : client_(client)
        , options_(std::move(options))
        , policy_(0, options_.seed, WatchCoalescingDelay)
    {}

    /// Makes the next call, if one is due, and blocks until its end. Returns how long to wait
    /// before the next step. Must always be called on the same thread.
    std::chrono::milliseconds step()
    {
        const WatchStep next = policy_.next();
        if (std::holds_alternative<ListPlatform>(next))
            return list();
        if (const auto *watchStep = std::get_if<WatchPlatform>(&next))
            return watch(*watchStep);
        if (const auto *wait = std::get_if<WaitFor>(&next))
            return wait->duration;
        return {};
    }

    /// Puts \a configuration, which \a source provided, in force if its generation is greater than
    /// the current one. \a source is a peer's name for the log. Returns whether it was accepted.
    /// Thread-safe.
    bool offer(const Model::Configuration &configuration, const std::string &source)
    {
        return accept(configuration, Routing::Succession::Unknown, source);
    }

    /// Returns the configuration in force; generation 0 before the first one. Thread-safe.
    Model::Configuration current() const
    {
        const std::lock_guard guard(gateMutex_);
        return gate_.current();
    }

    /// Whether the last call to the store succeeded. Thread-safe.
    bool lastCallSucceeded() const { return lastCallSucceeded_; }

    /// Announces that the client is about to be aborted, so that the failure is not logged.
    /// Thread-safe.
    void onStopping() { isStopping_ = true; }

private:
    bool accept(const Model::Configuration &configuration, Routing::Succession succession,
                const std::string &source)
    {
        const std::lock_guard guard(gateMutex_);
        const auto before = gate_.current().generation;
        if (!gate_.offer(configuration)) {
            if (configuration.generation != before)
                Observability::log(Observability::Level::Warning, "configuration-refused",
                                   {{"generation", std::uint64_t(configuration.generation)},
                                    {"inForce", std::uint64_t(before)},
                                    {"source", source}});
            return false;
        }
        Observability::log(Observability::Level::Info, "configuration-applied",
                           {{"generation", std::uint64_t(configuration.generation)},
                            {"before", std::uint64_t(before)},
                            {"routes", configuration.routes.size()},
                            {"source", source}});
        options_.changed(gate_.current(), succession);
        return true;
    }

    std::chrono::milliseconds list()
    {
        const auto start = options_.clock();
        const auto listing = Store::attempt([this] { return client_.list(options_.prefix); });
        logTimeline();
        if (const auto *failure = std::get_if<Store::FailureKind>(&listing))
            return onFailure(*failure, start);
        const auto &content = std::get<Store::Listing>(listing);
        Observability::log(Observability::Level::Info, "store-listed",
                           {{"revision", content.revision.number()},
                            {"timeline", std::uint64_t(content.revision.timeline())},
                            {"objects", content.objects.size()}});
        for (const Store::Object &object : content.objects)
            handleObject(object.key, object.value, Routing::Succession::Unknown);
        onSuccess();
        policy_.onListed(content.revision);
        return {};
    }

    std::chrono::milliseconds watch(const WatchPlatform &watchStep)
    {
        if (!lastCallSucceeded_)
            Observability::log(Observability::Level::Info, "store-watch-resumed",
                               {{"after", watchStep.after.number()},
                                {"timeline", std::uint64_t(watchStep.after.timeline())}});
        const auto start = options_.clock();
        const auto changes = Store::attempt(
            [&] { return client_.watch(options_.prefix, watchStep.after, watchStep.wait); });
        logTimeline();
        if (const auto *failure = std::get_if<Store::FailureKind>(&changes))
            return onFailure(*failure, start);
        const auto &content = std::get<Store::Changes>(changes);
        for (const Store::Change &change : content.changes) {
            if (change.value)
                handleObject(change.key, *change.value, Routing::Succession::Direct);
        }
        onSuccess();
        policy_.onWatched(options_.clock(), content.revision, !content.changes.empty());
        return {};
    }

    void handleObject(const std::string &key, const std::string &value,
                      Routing::Succession succession)
    {
        if (key != options_.key)
            return;
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(configuration, options_.decode(value));
                accept(configuration, succession, "store");
                return {};
            },
            [](const Configuration::FileError &error) {
                Observability::log(Observability::Level::Error, "configuration-unreadable",
                                   {{"error", Configuration::errorText(error)}});
            },
            [&key] {
                Observability::log(Observability::Level::Error, "configuration-unreadable",
                                   {{"error", key}});
            });
    }

    /// Logs if the last response was the first one on its timeline.
    void logTimeline()
    {
        const Store::Timeline timeline = client_.timeline();
        if (timeline == loggedTimeline_)
            return;
        Observability::log(
            Observability::Level::Warning, "store-timeline",
            {{"timeline", std::uint64_t(timeline)}, {"before", std::uint64_t(loggedTimeline_)}});
        loggedTimeline_ = timeline;
    }

    void onSuccess()
    {
        if (!lastCallSucceeded_.exchange(true))
            Observability::log(Observability::Level::Info, "store-reached");
    }

    /// Processes a failure of a call that began at \a start.
    std::chrono::milliseconds onFailure(Store::FailureKind kind,
                                        std::chrono::steady_clock::time_point start)
    {
        if (lastCallSucceeded_.exchange(false) && !isStopping_)
            Observability::log(Observability::Level::Warning, "store-lost",
                               {{"cause", Store::failureText(kind)}});
        policy_.onFailed(
            kind, std::chrono::duration_cast<std::chrono::milliseconds>(options_.clock() - start));
        return {};
    }

    Client &client_;
    Options options_;
    WatchPolicy policy_;
    Store::Timeline loggedTimeline_{};
    std::atomic<bool> lastCallSucceeded_ = false;
    std::atomic<bool> isStopping_ = false;
    mutable std::mutex gateMutex_; ///< guards gate_
    Configuration::GenerationGate gate_;
};

} // namespace Control
