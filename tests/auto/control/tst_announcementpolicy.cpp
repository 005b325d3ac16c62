#include "control/announcementpolicy.h"

#include "property.h"

using namespace Control;
using Store::FailureKind;

namespace {

/// A keeper against a platform that loses answers, and against operators and peers that write too.
class Checked
{
public:
    Checked()
    {
        Model::Instance instance;
        instance.name = "agent-1";
        instance.incarnation = Model::Incarnation(10);
        instance.state = Model::InstanceState::Draining;
        keeper_.emplace(instance, 1);
    }

    void setWantedState(bool ready)
    {
        keeper_->setWantedState(ready ? Model::InstanceState::Ready : Model::InstanceState::Draining);
    }

    /// The keeper decides on a step, and may change its mind before the step is carried out.
    void decide() { pending_ = keeper_->next(now_); }

    void carryOut(bool losesAnswer, bool losesCall)
    {
        if (!pending_)
            return;
        const AnnouncementStep step = *pending_;
        pending_.reset();
        if (std::holds_alternative<WaitUntil>(step))
            return;
        if (losesCall)
            return keeper_->onFailed(now_, FailureKind::Unreachable);
        if (std::holds_alternative<ReadAnnouncement>(step)) {
            if (losesAnswer)
                return keeper_->onFailed(now_, FailureKind::OutcomeUnknown);
            if (!stored_)
                return keeper_->onFailed(now_, FailureKind::NotFound);
            return keeper_->onObserved(version_, stored_);
        }
        std::optional<Model::Instance> value;
        if (const auto *write = std::get_if<WriteAnnouncement>(&step)) {
            const auto *const ifVersion = std::get_if<Store::IfVersion>(&write->precondition);
            const bool holds = ifVersion ? stored_ && ifVersion->version == version_ : !stored_;
            if (!holds)
                return keeper_->onFailed(now_, FailureKind::Conflict);
            value = write->instance;
            // A later incarnation's announcement is never overwritten.
            RC_ASSERT(!stored_ || stored_->incarnation <= value->incarnation);
        } else if (!stored_ || std::get<RemoveAnnouncement>(step).version != version_) {
            return keeper_->onFailed(now_, FailureKind::Conflict);
        }
        store(value);
        if (losesAnswer)
            keeper_->onFailed(now_, FailureKind::OutcomeUnknown);
        else
            keeper_->onWritten(version_, value);
    }

    void suspect()
    {
        if (!stored_)
            return;
        Model::Instance instance = *stored_;
        instance.state = Model::InstanceState::Suspect;
        store(instance);
    }

    void askDrain()
    {
        if (!stored_)
            return;
        Model::Instance instance = *stored_;
        instance.drainRequested = true;
        instance.state = Model::InstanceState::Draining;
        drainAsked_ |= instance.incarnation == keeper_->wanted().incarnation;
        store(instance);
    }

    void replace()
    {
        Model::Instance instance;
        instance.name = "agent-1";
        instance.incarnation = Model::Incarnation(11);
        store(instance);
    }

    void watch() { keeper_->onObserved(version_, stored_); }
    void watchStale(std::size_t index)
    {
        if (history_.empty())
            return;
        const auto &[version, instance] = history_[index % history_.size()];
        keeper_->onObserved(version, instance);
    }
    void advance(std::chrono::milliseconds step) { now_ += step; }

    void settle()
    {
        for (int round = 0; round < 20; ++round) {
            advance(std::chrono::seconds(10));
            watch();
            decide();
            carryOut(false, false);
        }
        if (stored_ && stored_->incarnation > keeper_->wanted().incarnation) {
            RC_ASSERT(keeper_->isReplaced());
            return;
        }
        RC_ASSERT(stored_ == keeper_->wanted());
        RC_ASSERT(!drainAsked_ || stored_->state == Model::InstanceState::Draining);
    }

private:
    void store(const std::optional<Model::Instance> &instance)
    {
        version_ = Store::Version(std::uint64_t(version_) + 1);
        stored_ = instance;
        history_.emplace_back(version_, stored_);
    }

    AnnouncementPolicy::TimePoint now_{std::chrono::hours(1)};
    std::optional<AnnouncementPolicy> keeper_;
    std::optional<AnnouncementStep> pending_;
    std::optional<Model::Instance> stored_;
    Store::Version version_{};
    std::vector<std::pair<Store::Version, std::optional<Model::Instance>>> history_;
    bool drainAsked_ = false;
};

class KeeperStep : public Step<Checked>
{
public:
    void apply(Checked &checked) const override
    {
        switch (kind_) {
        case 0:
            return checked.setWantedState(first_ % 2 == 0);
        case 1:
        case 2:
        case 3:
            return checked.decide();
        case 4:
        case 5:
        case 6:
            return checked.carryOut(first_ % 4 == 0, first_ % 7 == 0);
        case 7:
            return checked.suspect();
        case 8:
            return first_ % 5 == 0 ? checked.askDrain() : checked.watch();
        case 9:
            return first_ % 40 == 0 ? checked.replace() : checked.watchStale(first_);
        case 10:
            return checked.advance(std::chrono::milliseconds(first_ * 10));
        default:
            return checked.settle();
        }
    }

    void show(std::ostream &stream) const override { stream << "step " << kind_ << ' ' << first_; }

private:
    const int kind_ = *rc::gen::inRange(0, 12);
    const std::size_t first_ = *rc::gen::inRange<std::size_t>(0, 400);
};

} // namespace

TEST_GROUP(AnnouncementPolicy){};

TEST(AnnouncementPolicy, EndsAtWhatIsWanted)
{
    checkProperty("the announcement ends as wanted, a drain asked for stays", [] {
        Checked checked;
        rc::state::check(NoModel(), checked, rc::state::gen::execOneOfWithArgs<KeeperStep>());
        checked.settle();
    });
}
