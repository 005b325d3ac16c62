#include "control/announcementpolicy.h"
#include "control/clusterview.h"
#include "membership/announcement.h"

#include "property.h"
#include "standins/restorablestore.h"

#include <array>
#include <functional>

using namespace Control;
using namespace std::chrono_literals;
using Store::FailureKind;

namespace {

Model::Instance instanceCalled(const std::string &name)
{
    Model::Instance instance;
    instance.name = name;
    instance.service = "order-desk";
    instance.failureDomain = "harbour";
    instance.tunnel = {0x7f000001, 1};
    instance.peer = {0x7f000001, 2};
    instance.incarnation = Model::Incarnation(5);
    instance.state = Model::InstanceState::Draining;
    return instance;
}

/// An agent as far as its announcement goes: its view of the platform, and the policy that writes.
class AnnouncingAgent
{
public:
    explicit AnnouncingAgent(const std::string &name)
        : key_(Membership::instanceKey(name))
        , policy_(instanceCalled(name), 1)
    {}

    void list(const RestorableStore &store)
    {
        Store::Listing listing;
        listing.revision = Store::Revision(store.revision(), store.timeline());
        for (const auto &[key, entry] : store.list(""))
            listing.objects.push_back(
                {key, Store::Version(entry.revision, store.timeline()), entry.value});
        apply(listing);
        position_ = listing.revision;
    }

    /// Applies what the store reports after the last response, or lists if it can't tell.
    void follow(const RestorableStore &store)
    {
        const auto events = store.eventsAfter("", position_.number());
        if (!events || position_ == Store::Revision{} || position_.timeline() != store.timeline())
            return list(store);
        Store::Changes changes;
        changes.revision = Store::Revision(store.revision(), store.timeline());
        for (const auto &[revision, key, value] : *events)
            changes.changes.push_back({key, Store::Version(revision, store.timeline()), value});
        apply(changes);
        position_ = changes.revision;
    }

    void readSnapshotOf(const AnnouncingAgent &peer) { apply(peer.view_.snapshot()); }

    void expireMissing(ClusterView::TimePoint now)
    {
        if (view_.expire(now))
            policy_.onRegistryChanged(view_.registry());
    }

    void setWantedState(Model::InstanceState state) { policy_.setWantedState(state); }

    void decide(ClusterView::TimePoint now) { step_ = policy_.next(now); }

    /// Executes the step that was decided at the store; its response arrives later.
    void call(ClusterView::TimePoint now, RestorableStore &store)
    {
        if (!step_ || response_)
            return;
        if (std::holds_alternative<ReadAnnouncement>(*step_))
            response_ = read(now, store);
        else if (const auto *write = std::get_if<WriteAnnouncement>(&*step_))
            response_ = this->write(now, store, *write);
        step_.reset();
    }

    void receiveResponse()
    {
        if (response_)
            (*response_)(policy_);
        response_.reset();
    }

    bool isAnnounced(const RestorableStore &store) const
    {
        const auto entry = store.read(key_);
        return entry && Membership::decodeAnnouncement(entry->value) == policy_.wanted();
    }

private:
    using Response = std::function<void(AnnouncementPolicy &)>;

    template<typename Update>
    void apply(const Update &update)
    {
        if (view_.apply(update))
            policy_.onRegistryChanged(view_.registry());
    }

    Response read(ClusterView::TimePoint now, const RestorableStore &store) const
    {
        const auto entry = store.read(key_);
        if (!entry)
            return [now](auto &policy) { policy.onFailed(now, FailureKind::NotFound); };
        const Store::Version version(entry->revision, store.timeline());
        const auto announced = Membership::decodeAnnouncement(entry->value);
        return [version, announced](auto &policy) { policy.onObserved(version, announced); };
    }

    Response write(ClusterView::TimePoint now, RestorableStore &store,
                   const WriteAnnouncement &write) const
    {
        const auto *const ifVersion = std::get_if<Store::IfVersion>(&write.precondition);
        const bool isSameTimeline = !ifVersion || ifVersion->version.timeline() == store.timeline();
        const std::uint64_t expected = ifVersion ? ifVersion->version.number() : 0;
        const auto revision =
            isSameTimeline
                ? store.write(key_, Membership::encodeAnnouncement(write.instance), expected)
                : std::nullopt;
        if (!revision)
            return [now](auto &policy) { policy.onFailed(now, FailureKind::Conflict); };
        const Store::Version version(*revision, store.timeline());
        return [version, instance = write.instance](auto &policy) {
            policy.onWritten(version, instance);
        };
    }

    std::string key_;
    ClusterView view_;
    AnnouncementPolicy policy_;
    Store::Revision position_;
    std::optional<AnnouncementStep> step_;
    std::optional<Response> response_;
};

/// Agents before one store that is restored from older copies at any moment.
class RestoredAgents
{
public:
    void list(std::size_t index) { agent(index).list(store_); }
    void follow(std::size_t index) { agent(index).follow(store_); }
    void readSnapshot(std::size_t index) { agent(index).readSnapshotOf(agent(index / 3)); }
    void decide(std::size_t index) { agent(index).decide(now_); }
    void call(std::size_t index) { agent(index).call(now_, store_); }
    void receiveResponse(std::size_t index) { agent(index).receiveResponse(); }

    void setWantedState(std::size_t index)
    {
        agent(index).setWantedState(index / 3 % 2 == 0 ? Model::InstanceState::Ready
                                                       : Model::InstanceState::Draining);
    }

    void restore(std::size_t index) { store_.restore(index % 4 + 1); }

    void advance(std::size_t index)
    {
        now_ += std::chrono::milliseconds(index * 10);
        agent(index).expireMissing(now_);
    }

    /// Lets all agents follow the store without another restore, and checks the announcements.
    void checkFinalState()
    {
        for (int round = 0; round < 10; ++round) {
            now_ += 10s;
            for (AnnouncingAgent &agent : agents_) {
                agent.receiveResponse();
                agent.follow(store_);
                agent.expireMissing(now_);
                agent.decide(now_);
                agent.call(now_, store_);
                agent.receiveResponse();
            }
        }
        for (const AnnouncingAgent &agent : agents_)
            RC_ASSERT(agent.isAnnounced(store_));
    }

private:
    AnnouncingAgent &agent(std::size_t index) { return agents_[index % agents_.size()]; }

    RestorableStore store_;
    ClusterView::TimePoint now_{1h};
    std::array<AnnouncingAgent, 3> agents_{AnnouncingAgent("agent-1"), AnnouncingAgent("agent-2"),
                                           AnnouncingAgent("agent-3")};
};

class RestoredAgentsStep : public Step<RestoredAgents>
{
public:
    void apply(RestoredAgents &fixture) const override
    {
        switch (kind_) {
        case 0:
            return fixture.list(index_);
        case 1:
        case 2:
            return fixture.follow(index_);
        case 3:
            return fixture.readSnapshot(index_);
        case 4:
        case 5:
            return fixture.decide(index_);
        case 6:
        case 7:
            return fixture.call(index_);
        case 8:
        case 9:
            return fixture.receiveResponse(index_);
        case 10:
            return fixture.setWantedState(index_);
        case 11:
            return fixture.advance(index_);
        case 12:
            return fixture.restore(index_);
        default:
            return fixture.checkFinalState();
        }
    }

    void show(std::ostream &stream) const override { stream << "step " << kind_ << ' ' << index_; }

private:
    const int kind_ = *rc::gen::inRange(0, 14);
    const std::size_t index_ = *rc::gen::inRange<std::size_t>(0, 90);
};

} // namespace

TEST_GROUP(LostAnnouncements)
{
    /// Writes what \a agent wants until it has nothing left to write.
    void announce(AnnouncingAgent & agent)
    {
        for (int call = 0; call < 4; ++call) {
            now += 10s;
            agent.decide(now);
            agent.call(now, store);
            agent.receiveResponse();
        }
    }

    RestorableStore store;
    ClusterView::TimePoint now{1h};
    AnnouncingAgent first{"agent-1"};
    AnnouncingAgent second{"agent-2"};
    AnnouncingAgent third{"agent-3"};
};

// A peer's snapshot must not confirm an announcement that a restore lost: the agent would not write
// it again.
TEST(LostAnnouncements, AreWrittenAgainAfterAPeersSnapshot)
{
    second.list(store);
    announce(second);
    first.list(store);
    announce(first);
    first.follow(store);
    second.follow(store);
    store.restore(1);
    third.list(store);
    announce(third);
    second.follow(store);
    // The snapshot contains a change, and the listing after it has the same revision.
    first.readSnapshotOf(second);
    first.follow(store);
    announce(first);
    CHECK_TRUE(first.isAnnounced(store));
}

// A restore may lose an announcement before the watch has reported it to the agent that wrote it.
TEST(LostAnnouncements, AreWrittenAgainIfTheWatchNeverReportedThem)
{
    first.list(store);
    announce(first);
    store.restore(1);
    first.follow(store);
    announce(first);
    CHECK_TRUE(first.isAnnounced(store));
}

// The response to a write may arrive after the listing that shows that a restore lost the write.
TEST(LostAnnouncements, AreWrittenAgainIfTheListingOvertakesTheResponse)
{
    first.list(store);
    announce(first);
    first.follow(store);
    first.setWantedState(Model::InstanceState::Ready);
    first.decide(now);
    first.call(now, store);
    store.restore(2);
    first.follow(store);
    first.receiveResponse();
    announce(first);
    CHECK_TRUE(first.isAnnounced(store));
}

TEST(LostAnnouncements, AllAreWrittenAgainAfterRestores)
{
    checkProperty("all agents are announced after restores at any moment", [] {
        RestoredAgents fixture;
        rc::state::check(NoModel(), fixture,
                         rc::state::gen::execOneOfWithArgs<RestoredAgentsStep>());
        fixture.checkFinalState();
    });
}
