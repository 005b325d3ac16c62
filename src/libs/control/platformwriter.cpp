#include "control/platformwriter.h"

#include "membership/announcement.h"
#include "observability/log.h"
#include "store/attempt.h"

#include <algorithm>

namespace Control {

using Observability::Level;
using Observability::log;
using Store::attempt;
using Store::FailureKind;

static constexpr std::chrono::milliseconds CallTimeout{1500};
static constexpr std::chrono::seconds MaxWait{60};
static constexpr std::size_t MaxSuspicions = 32;

PlatformWriter::PlatformWriter(const Model::Endpoint &platform, Model::Instance wanted,
                               std::uint64_t seed, StatusHandler statusHandler)
    : client_(platform, CallTimeout)
    , statusHandler_(std::move(statusHandler))
    , policy_(std::move(wanted), seed)
    , thread_([this] { run(); })
{}

PlatformWriter::~PlatformWriter()
{
    {
        const std::lock_guard guard(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    client_.abort();
    thread_.join();
}

void PlatformWriter::setWantedState(Model::InstanceState state)
{
    {
        const std::lock_guard guard(mutex_);
        policy_.setWantedState(state);
    }
    wake_.notify_all();
}

void PlatformWriter::announceSuspect(const std::string &name, Model::Incarnation incarnation)
{
    add({name, incarnation, false});
}

void PlatformWriter::removeSuspect(const std::string &name, Model::Incarnation incarnation)
{
    add({name, incarnation, true});
}

void PlatformWriter::add(const Suspicion &suspicion)
{
    {
        const std::lock_guard guard(mutex_);
        if (suspicions_.size() < MaxSuspicions)
            suspicions_.push_back(suspicion);
    }
    wake_.notify_all();
}

void PlatformWriter::onViewChanged(const ClusterView &view)
{
    {
        const std::lock_guard guard(mutex_);
        policy_.onRegistryChanged(view.registry());
    }
    wake_.notify_all();
}

void PlatformWriter::leave(std::chrono::milliseconds limit)
{
    std::unique_lock lock(mutex_);
    policy_.leave();
    wake_.notify_all();
    upToDate_.wait_for(lock, limit, [this] { return policy_.isUpToDate(); });
}

void PlatformWriter::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const auto now = std::chrono::steady_clock::now();
        const AnnouncementStep step = policy_.next(now);
        if (const auto *wait = std::get_if<WaitUntil>(&step)) {
            if (policy_.isUpToDate())
                upToDate_.notify_all();
            if (suspicions_.empty()) {
                wake_.wait_until(lock, std::min(wait->until, now + MaxWait));
                lock.unlock();
                reportStatus();
                lock.lock();
                continue;
            }
            const Suspicion suspicion = suspicions_.front();
            suspicions_.pop_front();
            lock.unlock();
            writeSuspicion(suspicion);
            lock.lock();
            continue;
        }
        lock.unlock();
        execute(step);
        reportStatus();
        lock.lock();
    }
}

void PlatformWriter::execute(const AnnouncementStep &step)
{
    std::string key;
    {
        const std::lock_guard guard(mutex_);
        key = Membership::instanceKey(policy_.wanted().name);
    }
    if (std::holds_alternative<ReadAnnouncement>(step)) {
        const auto read = attempt([&] { return client_.read(key); });
        const std::lock_guard guard(mutex_);
        if (const auto *object = std::get_if<Store::Object>(&read))
            policy_.onObserved(object->version, Membership::decodeAnnouncement(object->value));
        else
            policy_.onFailed(std::chrono::steady_clock::now(), std::get<FailureKind>(read));
        return;
    }

    const auto *const write = std::get_if<WriteAnnouncement>(&step);
    const auto written = attempt([&] {
        if (!write)
            return client_.remove(key, std::get<RemoveAnnouncement>(step).version);
        return client_.write(key, Membership::encodeAnnouncement(write->instance),
                             write->precondition);
    });
    const auto *const version = std::get_if<Store::Version>(&written);
    log(Level::Info, write ? "announcement-written" : "announcement-removed",
        {{"revision", version ? version->number() : 0},
         {"timeline", version ? std::uint64_t(version->timeline()) : 0},
         {"outcome", version ? "stored" : Store::failureText(std::get<FailureKind>(written))}});
    const std::lock_guard guard(mutex_);
    if (version)
        policy_.onWritten(*version, write ? std::optional(write->instance) : std::nullopt);
    else
        policy_.onFailed(std::chrono::steady_clock::now(), std::get<FailureKind>(written));
}

void PlatformWriter::writeSuspicion(const Suspicion &suspicion)
{
    const std::string key = Membership::instanceKey(suspicion.name);
    const auto read = attempt([&] { return client_.read(key); });
    const auto *const object = std::get_if<Store::Object>(&read);
    if (!object)
        return;
    auto instance = Membership::decodeAnnouncement(object->value);
    // Another peer wrote first, or the suspect restarted under a new incarnation.
    const bool isSuspect = instance && instance->state == Model::InstanceState::Suspect;
    if (!instance || instance->incarnation != suspicion.incarnation
        || isSuspect != suspicion.isRemoval)
        return;
    instance->state = Model::InstanceState::Suspect;
    const auto written = attempt([&] {
        if (suspicion.isRemoval)
            return client_.remove(key, object->version);
        return client_.write(key, Membership::encodeAnnouncement(*instance),
                             Store::IfVersion{object->version});
    });
    log(Level::Warning, suspicion.isRemoval ? "peer-forgotten" : "peer-suspect",
        {{"instance", suspicion.name},
         {"written", std::holds_alternative<Store::Version>(written)}});
}

void PlatformWriter::reportStatus()
{
    bool changed = false;
    {
        const std::lock_guard guard(mutex_);
        changed = policy_.isDrainRequested() != reportedDrain_
                  || policy_.isReplaced() != reportedReplacement_;
        reportedDrain_ = policy_.isDrainRequested();
        reportedReplacement_ = policy_.isReplaced();
    }
    if (changed)
        statusHandler_(policy_);
}

} // namespace Control
