#include "control/platformwatcher.h"

#include "observability/log.h"
#include "store/attempt.h"

#include <algorithm>

namespace Control {

using Observability::Level;
using Observability::log;
using Store::attempt;

static constexpr std::chrono::milliseconds CallTimeout{2000};
static constexpr std::chrono::milliseconds NoticeCheckInterval{1000};
static constexpr std::size_t MaxPendingNotices = 64;

PlatformWatcher::PlatformWatcher(const Model::Endpoint &platform,
                                 std::vector<Model::Endpoint> peers, std::uint64_t seed,
                                 ViewChangedHandler changed)
    : peers_(std::move(peers))
    , changed_(std::move(changed))
    , client_(platform, CallTimeout)
    , policy_(peers_.size(), seed)
    , lastAnswer_(std::chrono::steady_clock::now())
    , thread_([this] { run(); })
    , noticeThread_([this] { applyNotices(); })
{}

PlatformWatcher::~PlatformWatcher()
{
    {
        const std::lock_guard guard(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    noticeAdded_.notify_all();
    client_.abort();
    thread_.join();
    noticeThread_.join();
}

Store::Listing PlatformWatcher::snapshot() const
{
    const std::lock_guard guard(mutex_);
    return view_.snapshot();
}

std::shared_ptr<const Routing::RoutingTable> PlatformWatcher::table() const
{
    const std::lock_guard guard(mutex_);
    return view_.table();
}

std::chrono::milliseconds PlatformWatcher::timeSinceLastAnswer() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now()
                                                                 - lastAnswer_.load());
}

void PlatformWatcher::endPause()
{
    {
        const std::lock_guard guard(mutex_);
        pauseEnded_ = true;
    }
    wake_.notify_all();
}

void PlatformWatcher::run()
{
    while (true) {
        {
            const std::lock_guard guard(mutex_);
            if (stopping_)
                return;
        }
        const WatchStep step = policy_.next();
        if (std::holds_alternative<ListPlatform>(step))
            list();
        else if (const auto *watchStep = std::get_if<WatchPlatform>(&step))
            watch(*watchStep);
        else if (const auto *fetch = std::get_if<FetchPeerSnapshot>(&step))
            fetchPeerSnapshot(fetch->peer);
        else if (const auto *wait = std::get_if<WaitFor>(&step))
            pause(wait->duration);
    }
}

template<typename Update>
void PlatformWatcher::apply(const Update &update)
{
    recordAnswer();
    const std::lock_guard guard(mutex_);
    if (view_.apply(update))
        changed_(view_);
}

void PlatformWatcher::addNotice(const Tunnel::StateNotice &notice)
{
    {
        const std::lock_guard guard(mutex_);
        if (notices_.size() < MaxPendingNotices)
            notices_.push_back(notice);
    }
    noticeAdded_.notify_all();
}

void PlatformWatcher::applyNotices()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        noticeAdded_.wait_for(lock, NoticeCheckInterval,
                              [this] { return stopping_ || !notices_.empty(); });
        const auto now = std::chrono::steady_clock::now();
        bool changed = view_.expire(now);
        for (; !notices_.empty(); notices_.pop_front())
            changed |= view_.apply(now, notices_.front());
        if (changed)
            changed_(view_);
    }
}

void PlatformWatcher::list()
{
    const auto start = std::chrono::steady_clock::now();
    const auto listing = attempt([this] { return client_.list(""); });
    if (const auto *failure = std::get_if<Store::FailureKind>(&listing))
        return onFailure(*failure, start);
    const auto &content = std::get<Store::Listing>(listing);
    log(Level::Info, "platform-listed",
        {{"revision", content.revision.number()},
         {"timeline", std::uint64_t(content.revision.timeline())},
         {"objects", content.objects.size()}});
    apply(content);
    policy_.onListed(content.revision);
}

void PlatformWatcher::watch(const WatchPlatform &step)
{
    const auto start = std::chrono::steady_clock::now();
    const auto changes = attempt([&] { return client_.watch("", step.after, step.wait); });
    if (const auto *failure = std::get_if<Store::FailureKind>(&changes))
        return onFailure(*failure, start);
    const auto &content = std::get<Store::Changes>(changes);
    apply(content);
    policy_.onWatched(std::chrono::steady_clock::now(), content.revision, !content.changes.empty());
}

void PlatformWatcher::fetchPeerSnapshot(std::size_t index)
{
    Store::HttpObjectClient peer(peers_[index], CallTimeout);
    const auto listing = attempt([&] { return peer.list("", "/snapshot"); });
    if (const auto *content = std::get_if<Store::Listing>(&listing))
        apply(*content);
}

void PlatformWatcher::pause(std::chrono::milliseconds wait)
{
    std::unique_lock lock(mutex_);
    wake_.wait_for(lock, wait, [this] { return stopping_ || pauseEnded_; });
    pauseEnded_ = false;
}

void PlatformWatcher::onFailure(Store::FailureKind kind,
                                std::chrono::steady_clock::time_point start)
{
    log(Level::Warning, "platform-call-failed", {{"kind", Store::failureText(kind)}});
    const auto duration = std::chrono::steady_clock::now() - start;
    policy_.onFailed(kind, std::chrono::duration_cast<std::chrono::milliseconds>(duration));
}

void PlatformWatcher::recordAnswer()
{
    lastAnswer_ = std::chrono::steady_clock::now();
}

} // namespace Control
