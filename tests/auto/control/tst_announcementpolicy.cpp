#include "control/announcementpolicy.h"

#include "property.h"

using namespace Control;
using Store::FailureKind;

namespace {

/// An AnnouncementPolicy with a simulated platform that loses calls and responses, and to which
/// operators and peers write too.
class PolicyFixture
{
public:
    PolicyFixture()
    {
        Model::Instance instance;
        instance.name = "agent-1";
        instance.incarnation = Model::Incarnation(10);
        instance.state = Model::InstanceState::Draining;
        policy_.emplace(instance, 1);
    }

    void setWantedState(bool ready)
    {
        policy_->setWantedState(ready ? Model::InstanceState::Ready
                                      : Model::InstanceState::Draining);
    }

    /// Takes the next step to execute. Other inputs may arrive before it is executed.
    void takeStep() { pending_ = policy_->next(now_); }

    void executeStep(bool losesAnswer, bool losesCall)
    {
        if (!pending_)
            return;
        const AnnouncementStep step = *pending_;
        pending_.reset();
        if (std::holds_alternative<WaitUntil>(step))
            return;
        if (losesCall)
            return policy_->onFailed(now_, FailureKind::Unreachable);
        if (std::holds_alternative<ReadAnnouncement>(step)) {
            if (losesAnswer)
                return policy_->onFailed(now_, FailureKind::OutcomeUnknown);
            if (!stored_)
                return policy_->onFailed(now_, FailureKind::NotFound);
            return policy_->onObserved(version_, stored_);
        }
        std::optional<Model::Instance> value;
        if (const auto *write = std::get_if<WriteAnnouncement>(&step)) {
            const auto *const ifVersion = std::get_if<Store::IfVersion>(&write->precondition);
            const bool holds = ifVersion ? stored_ && ifVersion->version == version_ : !stored_;
            if (!holds)
                return policy_->onFailed(now_, FailureKind::Conflict);
            value = write->instance;
            // A later incarnation's announcement is never overwritten.
            RC_ASSERT(!stored_ || stored_->incarnation <= value->incarnation);
        } else if (!stored_ || std::get<RemoveAnnouncement>(step).version != version_) {
            return policy_->onFailed(now_, FailureKind::Conflict);
        }
        store(value);
        if (losesAnswer)
            policy_->onFailed(now_, FailureKind::OutcomeUnknown);
        else
            policy_->onWritten(version_, value);
    }

    void suspect()
    {
        if (!stored_)
            return;
        Model::Instance instance = *stored_;
        instance.state = Model::InstanceState::Suspect;
        store(instance);
    }

    void requestDrain()
    {
        if (!stored_)
            return;
        Model::Instance instance = *stored_;
        instance.drainRequested = true;
        instance.state = Model::InstanceState::Draining;
        drainRequested_ |= instance.incarnation == policy_->wanted().incarnation;
        store(instance);
    }

    void replace()
    {
        Model::Instance instance;
        instance.name = "agent-1";
        instance.incarnation = Model::Incarnation(11);
        store(instance);
    }

    void watch() { policy_->onObserved(version_, stored_); }
    void watchStaleVersion(std::size_t index)
    {
        if (history_.empty())
            return;
        const auto &[version, instance] = history_[index % history_.size()];
        policy_->onObserved(version, instance);
    }
    void advance(std::chrono::milliseconds step) { now_ += step; }

    /// Lets calls succeed until nothing is left to do, and checks the final state.
    void checkFinalState()
    {
        for (int round = 0; round < 20; ++round) {
            advance(std::chrono::seconds(10));
            watch();
            takeStep();
            executeStep(false, false);
        }
        if (stored_ && stored_->incarnation > policy_->wanted().incarnation) {
            RC_ASSERT(policy_->isReplaced());
            return;
        }
        RC_ASSERT(stored_ == policy_->wanted());
        RC_ASSERT(!drainRequested_ || stored_->state == Model::InstanceState::Draining);
    }

private:
    void store(const std::optional<Model::Instance> &instance)
    {
        version_ = Store::Version(version_.number() + 1);
        stored_ = instance;
        history_.emplace_back(version_, stored_);
    }

    AnnouncementPolicy::TimePoint now_{std::chrono::hours(1)};
    std::optional<AnnouncementPolicy> policy_;
    std::optional<AnnouncementStep> pending_;
    std::optional<Model::Instance> stored_;
    Store::Version version_{};
    std::vector<std::pair<Store::Version, std::optional<Model::Instance>>> history_;
    bool drainRequested_ = false;
};

class PolicyStep : public Step<PolicyFixture>
{
public:
    void apply(PolicyFixture &fixture) const override
    {
        switch (kind_) {
        case 0:
            return fixture.setWantedState(first_ % 2 == 0);
        case 1:
        case 2:
        case 3:
            return fixture.takeStep();
        case 4:
        case 5:
        case 6:
            return fixture.executeStep(first_ % 4 == 0, first_ % 7 == 0);
        case 7:
            return fixture.suspect();
        case 8:
            return first_ % 5 == 0 ? fixture.requestDrain() : fixture.watch();
        case 9:
            return first_ % 40 == 0 ? fixture.replace() : fixture.watchStaleVersion(first_);
        case 10:
            return fixture.advance(std::chrono::milliseconds(first_ * 10));
        default:
            return fixture.checkFinalState();
        }
    }

    void show(std::ostream &stream) const override { stream << "step " << kind_ << ' ' << first_; }

private:
    const int kind_ = *rc::gen::inRange(0, 12);
    const std::size_t first_ = *rc::gen::inRange<std::size_t>(0, 400);
};

} // namespace

TEST_GROUP(AnnouncementPolicy){};

TEST(AnnouncementPolicy, ReachesTheWantedAnnouncement)
{
    checkProperty("the announcement finally equals the wanted one, drain requests persist", [] {
        PolicyFixture fixture;
        rc::state::check(NoModel(), fixture, rc::state::gen::execOneOfWithArgs<PolicyStep>());
        fixture.checkFinalState();
    });
}
