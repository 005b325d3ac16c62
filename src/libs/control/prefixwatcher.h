#pragma once

#include "control/watchpolicy.h"
#include "observability/log.h"
#include "store/attempt.h"

#include <atomic>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <variant>

namespace Control {

/// Pause between watches while changes follow in quick succession, so that one call returns several
/// of them. It is well below the shortest time in which a change must be in force, 3 s.
constexpr std::chrono::milliseconds WatchCoalescingDelay{300};

/// Receives the objects that a PrefixWatcher reads, and their changes.
template<typename H>
concept WatchHandler = requires(H handler, const Store::Listing &listing,
                                const Store::Changes &changes)
{
    handler.onListing(listing);
    handler.onChanges(changes);
};

/// Lists the objects of a store whose keys begin with a prefix, and then watches them, one call at
/// a time.
template<Store::ObjectClient Client>
class PrefixWatcher
{
public:
    struct Options
    {
        std::string prefix;
        std::uint64_t seed = 0; ///< randomizes the pauses after failures
        std::chrono::milliseconds watchTimeout = WatchTimeout; ///< of a watch without changes
        /// Returns the time.
        std::function<std::chrono::steady_clock::time_point()> clock =
            std::chrono::steady_clock::now;
    };

    /// \a client must outlive this object and must not be used elsewhere.
    PrefixWatcher(Client &client, Options options)
        : client_(client)
        , options_(std::move(options))
        , policy_(0, options_.seed, WatchCoalescingDelay, options_.watchTimeout)
    {}

    /// Makes the next call, if one is due, blocks until its end and passes the result to
    /// \a handler. Returns how long to wait before the next step. Must always be called on the same
    /// thread.
    template<WatchHandler Handler>
    std::chrono::milliseconds step(Handler &handler)
    {
        const WatchStep next = policy_.next();
        if (std::holds_alternative<ListPlatform>(next))
            list(handler);
        else if (const auto *watchStep = std::get_if<WatchPlatform>(&next))
            watch(handler, *watchStep);
        else if (const auto *wait = std::get_if<WaitFor>(&next))
            return wait->duration;
        return {};
    }

    /// Whether the last call to the store succeeded. Thread-safe.
    bool lastCallSucceeded() const { return lastCallSucceeded_; }

    /// Announces that the client is about to be aborted, so that the failure is not logged.
    /// Thread-safe.
    void onStopping() { isStopping_ = true; }

private:
    template<WatchHandler Handler>
    void list(Handler &handler)
    {
        const auto start = options_.clock();
        const auto listing = Store::attempt([this] { return client_.list(options_.prefix); });
        logTimeline();
        if (const auto *failure = std::get_if<Store::FailureKind>(&listing)) {
            onFailure(*failure, start);
            return;
        }
        const auto &content = std::get<Store::Listing>(listing);
        Observability::log(Observability::Level::Info, "store-listed",
                           {{"prefix", options_.prefix},
                            {"revision", content.revision.number()},
                            {"timeline", std::uint64_t(content.revision.timeline())},
                            {"objects", content.objects.size()}});
        handler.onListing(content);
        onSuccess();
        policy_.onListed(content.revision);
    }

    template<WatchHandler Handler>
    void watch(Handler &handler, const WatchPlatform &watchStep)
    {
        if (!lastCallSucceeded_)
            Observability::log(Observability::Level::Info, "store-watch-resumed",
                               {{"prefix", options_.prefix},
                                {"after", watchStep.after.number()},
                                {"timeline", std::uint64_t(watchStep.after.timeline())}});
        const auto start = options_.clock();
        const auto changes = Store::attempt(
            [&] { return client_.watch(options_.prefix, watchStep.after, watchStep.wait); });
        logTimeline();
        if (const auto *failure = std::get_if<Store::FailureKind>(&changes)) {
            onFailure(*failure, start);
            return;
        }
        const auto &content = std::get<Store::Changes>(changes);
        handler.onChanges(content);
        onSuccess();
        policy_.onWatched(options_.clock(), content.revision, !content.changes.empty());
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
            Observability::log(Observability::Level::Info, "store-reached",
                               {{"prefix", options_.prefix}});
    }

    /// Processes a failure of a call that began at \a start.
    void onFailure(Store::FailureKind kind, std::chrono::steady_clock::time_point start)
    {
        if (lastCallSucceeded_.exchange(false) && !isStopping_)
            Observability::log(Observability::Level::Warning, "store-lost",
                               {{"prefix", options_.prefix}, {"cause", Store::failureText(kind)}});
        policy_.onFailed(
            kind, std::chrono::duration_cast<std::chrono::milliseconds>(options_.clock() - start));
    }

    Client &client_;
    Options options_;
    WatchPolicy policy_;
    Store::Timeline loggedTimeline_{};
    std::atomic<bool> lastCallSucceeded_ = false;
    std::atomic<bool> isStopping_ = false;
};

} // namespace Control
