#include "requests/admissioncontroller.h"

#include "property.h"
#include "trace.h"

#include <algorithm>
#include <deque>
#include <map>
#include <set>

using namespace Requests;
using std::chrono::milliseconds;

namespace {

/// Admission beside the plain bookkeeping that it must agree with.
class Checked
{
public:
    void submit(bool isLong, milliseconds expected, milliseconds untilDeadline)
    {
        AdmissionRequest ticket;
        ticket.id = RequestId(++nextId_);
        ticket.workClass = isLong ? WorkClass::Long : WorkClass::Short;
        ticket.expected = expected;
        ticket.deadline = now_ + untilDeadline;
        waiting_[ticket.id] = ticket;
        check(admission_.submit(now_, ticket));
    }

    void finish(std::size_t index)
    {
        if (running_.empty())
            return;
        const auto running = std::next(running_.begin(), std::ptrdiff_t(index % running_.size()));
        const RequestId id = running->first;
        running_.erase(running);
        check(admission_.finish(now_, id));
    }

    void cancel(std::size_t index)
    {
        if (waiting_.empty())
            return;
        const RequestId id =
            std::next(waiting_.begin(), std::ptrdiff_t(index % waiting_.size()))->first;
        RC_ASSERT(admission_.cancel(id));
        waiting_.erase(id);
        RC_ASSERT(!admission_.cancel(id));
    }

    void withdraw(bool isLong)
    {
        const auto ticket = admission_.takeLastWaiting(isLong ? WorkClass::Long : WorkClass::Short);
        if (ticket)
            RC_ASSERT(waiting_.erase(ticket->id) == 1);
    }

    void advance(milliseconds step)
    {
        now_ += step;
        check(admission_.tick(now_));
        for (const auto &[id, ticket] : waiting_)
            RC_ASSERT(now_ + ticket.expected <= ticket.deadline);
    }

    void setSlots(std::size_t slots)
    {
        slots_ = slots;
        admission_.setSlots(slots);
        check(admission_.tick(now_));
    }

    void setPaused(bool paused)
    {
        paused_ = paused;
        admission_.setPaused(paused);
        check(admission_.tick(now_));
    }

private:
    void check(const std::vector<AdmissionAction> &actions)
    {
        for (const AdmissionAction &action : actions) {
            if (const auto *start = std::get_if<Start>(&action)) {
                // Started at most once, in time, and in order within its class.
                const auto entry = waiting_.find(start->id);
                RC_ASSERT(entry != waiting_.end());
                const AdmissionRequest ticket = entry->second;
                RC_ASSERT(now_ + ticket.expected <= ticket.deadline);
                RC_ASSERT(!paused_);
                for (const auto &[id, other] : waiting_)
                    RC_ASSERT(other.workClass != ticket.workClass || id >= ticket.id);
                waiting_.erase(entry);
                RC_ASSERT(ticket.workClass != WorkClass::Long || mayStartLong(ticket));
                running_[ticket.id] = ticket.workClass;
                RC_ASSERT(running_.size() <= slots_);
            } else {
                // Refused only what never ran.
                RC_ASSERT(waiting_.erase(std::get<Refuse>(action).id) == 1);
            }
        }
        RC_ASSERT(admission_.waitingCount() == waiting_.size());
        RC_ASSERT(admission_.runningCount() == running_.size());
        RC_ASSERT(waiting_.size() <= MaxWaiting);
        // No slot stays idle while something may use it.
        if (paused_ || running_.size() >= slots_)
            return;
        for (const auto &[id, ticket] : waiting_) {
            RC_ASSERT(ticket.workClass == WorkClass::Long);
            RC_ASSERT(!mayStartLong(ticket) || isBehindOther(ticket));
        }
    }

    /// Long work fills one slot, and a second one when it is pressed, but not the last of several.
    bool mayStartLong(const AdmissionRequest &ticket) const
    {
        if (longRunning() == 0)
            return true;
        const bool isPressed = ticket.deadline - now_ < 2 * ticket.expected;
        return isPressed && longRunning() == 1 && slots_ > 2;
    }

    bool isBehindOther(const AdmissionRequest &ticket) const
    {
        return std::any_of(waiting_.begin(), waiting_.end(), [&](const auto &entry) {
            return entry.second.workClass == WorkClass::Long && entry.first < ticket.id;
        });
    }

    std::size_t longRunning() const
    {
        return std::size_t(std::count_if(running_.begin(), running_.end(), [](const auto &entry) {
            return entry.second == WorkClass::Long;
        }));
    }

    static constexpr std::size_t MaxWaiting = 8;

    TimePoint now_{std::chrono::hours(1)};
    std::size_t slots_ = 3;
    bool paused_ = false;
    std::uint64_t nextId_ = 0;
    std::map<RequestId, AdmissionRequest> waiting_;
    std::map<RequestId, WorkClass> running_;
    AdmissionController admission_{{3, 1, MaxWaiting}};
};

class AdmissionStep : public Step<Checked>
{
public:
    void apply(Checked &checked) const override
    {
        switch (kind_) {
        case 0:
        case 1:
        case 2:
        case 3:
            return checked.submit(first_ % 4 == 0, milliseconds(1 + first_ % 40),
                                  milliseconds(second_));
        case 4:
        case 5:
            return checked.finish(first_);
        case 6:
            return checked.cancel(first_);
        case 7:
            return checked.withdraw(first_ % 2 == 0);
        case 8:
            return checked.advance(milliseconds(first_ % 50));
        case 9:
            return checked.setSlots(1 + first_ % 4);
        default:
            return checked.setPaused(first_ % 3 == 0);
        }
    }

    void show(std::ostream &stream) const override
    {
        stream << "step " << kind_ << ' ' << first_ << ' ' << second_;
    }

private:
    const int kind_ = *rc::gen::inRange(0, 11);
    const std::size_t first_ = *rc::gen::inRange<std::size_t>(0, 400);
    const std::size_t second_ = *rc::gen::inRange<std::size_t>(0, 400);
};

} // namespace

TEST_GROUP(AdmissionController){};

TEST(AdmissionController, AgreesWithPlainBookkeeping)
{
    checkProperty("each request starts once in time, or is refused unrun", [] {
        Checked checked;
        rc::state::check(NoModel(), checked, rc::state::gen::execOneOfWithArgs<AdmissionStep>());
    });
}

static AdmissionRequest ticketOf(std::uint64_t id, WorkClass workClass, milliseconds expected,
                       TimePoint deadline)
{
    return {RequestId(id), workClass, expected, deadline};
}

TEST(AdmissionController, RefusesAtOnceWhatCannotBeInTime)
{
    const TimePoint now{std::chrono::hours(1)};
    AdmissionController admission({1, 1, 100});
    admission.submit(now,
                     ticketOf(1, WorkClass::Short, milliseconds(100), now + milliseconds(500)));
    const auto actions = admission.submit(
        now, ticketOf(2, WorkClass::Short, milliseconds(100), now + milliseconds(150)));
    CHECK_EQUAL(1u, actions.size());
    CHECK_TRUE(std::get<Refuse>(actions[0]).cause == RefusalCause::DeadlineTooClose);
}

TEST(AdmissionController, ShortWorkStartsWhileLongWorkWaits)
{
    const TimePoint now{std::chrono::hours(1)};
    const TimePoint late = now + std::chrono::seconds(60);
    AdmissionController admission({3, 1, 100});
    for (std::uint64_t id = 1; id <= 4; ++id)
        admission.submit(now, ticketOf(id, WorkClass::Long, milliseconds(1000), late));
    CHECK_EQUAL(1u, admission.runningCount());
    const auto actions =
        admission.submit(now, ticketOf(5, WorkClass::Short, milliseconds(20), late));
    CHECK_EQUAL(1u, actions.size());
    CHECK_TRUE(std::holds_alternative<Start>(actions[0]));
}

TEST(AdmissionController, PressedLongWorkTakesOneMoreSlot)
{
    const TimePoint now{std::chrono::hours(1)};
    AdmissionController admission({3, 1, 100});
    for (std::uint64_t id = 1; id <= 3; ++id)
        admission.submit(
            now, ticketOf(id, WorkClass::Long, milliseconds(1000), now + milliseconds(5000)));
    CHECK_EQUAL(1u, admission.runningCount());
    admission.tick(now + milliseconds(3100));
    CHECK_EQUAL(2u, admission.runningCount());
}

/// Writes \a actions as traces do.
static std::string textOf(const std::vector<AdmissionAction> &actions)
{
    std::string text;
    for (const AdmissionAction &action : actions) {
        text += text.empty() ? "" : " ";
        if (const auto *start = std::get_if<Start>(&action)) {
            text += "start " + std::to_string(std::uint64_t(start->id));
        } else {
            const auto &refusal = std::get<Refuse>(action);
            text += "refuse " + std::to_string(std::uint64_t(refusal.id)) + ' '
                    + refusalText(refusal.cause);
        }
    }
    return text.empty() ? "wait" : text;
}

/// at TIME submit ID short|long WORK DUE -> ACTIONS, or at TIME finish ID -> ACTIONS; in ms.
static std::vector<AdmissionAction> replayLine(AdmissionController &admission, const TraceLine &line)
{
    const TimePoint now = TimePoint(std::chrono::hours(1)) + milliseconds(std::stol(line[1]));
    if (line[2] == "finish")
        return admission.finish(now, RequestId(std::stoul(line[3])));
    const auto workClass = line[4] == "long" ? WorkClass::Long : WorkClass::Short;
    return admission.submit(now, ticketOf(std::stoul(line[3]), workClass,
                                          milliseconds(std::stol(line[5])),
                                          now + milliseconds(std::stol(line[6]))));
}

TEST(AdmissionController, RecordedTracesEndAsStated)
{
    replayTraces("requests", [](const std::string &name, const std::vector<TraceLine> &lines) {
        AdmissionController admission({3, 1, 100});
        for (const TraceLine &line : lines) {
            std::string stated;
            const auto arrow = std::find(line.begin(), line.end(), "->");
            for (auto word = arrow + 1; word != line.end(); ++word)
                stated += (stated.empty() ? "" : " ") + *word;
            STRCMP_EQUAL_TEXT(stated.c_str(), textOf(replayLine(admission, line)).c_str(),
                              name.c_str());
        }
    });
}

TEST(AdmissionController, PressedLongWorkTakesNoThirdSlot)
{
    const TimePoint now{std::chrono::hours(1)};
    AdmissionController admission({4, 1, 100});
    for (std::uint64_t id = 1; id <= 3; ++id)
        admission.submit(
            now, ticketOf(id, WorkClass::Long, milliseconds(1000), now + milliseconds(5000)));
    admission.tick(now + milliseconds(3100));
    CHECK_EQUAL(2u, admission.runningCount());
    CHECK_EQUAL(1u, admission.waitingCount());
}
