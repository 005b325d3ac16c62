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

/// Runs AdmissionController together with a simple reference model, and checks that both agree.
class Checked
{
public:
    void submit(bool isLong, milliseconds expected, milliseconds untilDeadline)
    {
        AdmissionRequest request;
        request.id = RequestId(++nextId_);
        request.workClass = isLong ? WorkClass::Long : WorkClass::Short;
        request.expected = expected;
        request.deadline = now_ + untilDeadline;
        waiting_[request.id] = request;
        check(admission_.submit(now_, request));
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
        const auto request =
            admission_.takeLastWaiting(isLong ? WorkClass::Long : WorkClass::Short);
        if (request)
            RC_ASSERT(waiting_.erase(request->id) == 1);
    }

    void advance(milliseconds step)
    {
        now_ += step;
        check(admission_.tick(now_));
        for (const auto &[id, request] : waiting_)
            RC_ASSERT(now_ + request.expected <= request.deadline);
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
                // Each request starts at most once, in time, and in the order of its class.
                const auto entry = waiting_.find(start->id);
                RC_ASSERT(entry != waiting_.end());
                const AdmissionRequest request = entry->second;
                RC_ASSERT(now_ + request.expected <= request.deadline);
                RC_ASSERT(!paused_);
                for (const auto &[id, other] : waiting_)
                    RC_ASSERT(other.workClass != request.workClass || id >= request.id);
                waiting_.erase(entry);
                RC_ASSERT(request.workClass != WorkClass::Long || mayStartLong(request));
                running_[request.id] = request.workClass;
                RC_ASSERT(running_.size() <= slots_);
            } else {
                // Only requests that have not run are refused.
                RC_ASSERT(waiting_.erase(std::get<Refuse>(action).id) == 1);
            }
        }
        RC_ASSERT(admission_.waitingCount() == waiting_.size());
        RC_ASSERT(admission_.runningCount() == running_.size());
        RC_ASSERT(waiting_.size() <= MaxWaiting);
        // No slot stays idle while a waiting request may use it.
        if (paused_ || running_.size() >= slots_)
            return;
        for (const auto &[id, request] : waiting_) {
            RC_ASSERT(request.workClass == WorkClass::Long);
            RC_ASSERT(!mayStartLong(request) || isBehindOther(request));
        }
    }

    /// Long requests use one slot, and a second one if urgent, but not the last of several.
    bool mayStartLong(const AdmissionRequest &request) const
    {
        if (longRunning() == 0)
            return true;
        const bool isUrgent = request.deadline - now_ < 2 * request.expected;
        return isUrgent && longRunning() == 1 && slots_ > 2;
    }

    bool isBehindOther(const AdmissionRequest &request) const
    {
        return std::any_of(waiting_.begin(), waiting_.end(), [&](const auto &entry) {
            return entry.second.workClass == WorkClass::Long && entry.first < request.id;
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

TEST(AdmissionController, AgreesWithReferenceModel)
{
    checkProperty("each request starts once and in time, or is refused without having run", [] {
        Checked checked;
        rc::state::check(NoModel(), checked, rc::state::gen::execOneOfWithArgs<AdmissionStep>());
    });
}

static AdmissionRequest requestOf(std::uint64_t id, WorkClass workClass, milliseconds expected,
                                  TimePoint deadline)
{
    return {RequestId(id), workClass, expected, deadline};
}

TEST(AdmissionController, RefusesAtOnceIfDeadlineCannotBeMet)
{
    const TimePoint now{std::chrono::hours(1)};
    AdmissionController admission({1, 1, 100});
    admission.submit(now,
                     requestOf(1, WorkClass::Short, milliseconds(100), now + milliseconds(500)));
    const auto actions = admission.submit(
        now, requestOf(2, WorkClass::Short, milliseconds(100), now + milliseconds(150)));
    CHECK_EQUAL(1u, actions.size());
    CHECK_TRUE(std::get<Refuse>(actions[0]).cause == RefusalCause::DeadlineTooClose);
}

TEST(AdmissionController, ShortWorkStartsWhileLongWorkWaits)
{
    const TimePoint now{std::chrono::hours(1)};
    const TimePoint late = now + std::chrono::seconds(60);
    AdmissionController admission({3, 1, 100});
    for (std::uint64_t id = 1; id <= 4; ++id)
        admission.submit(now, requestOf(id, WorkClass::Long, milliseconds(1000), late));
    CHECK_EQUAL(1u, admission.runningCount());
    const auto actions =
        admission.submit(now, requestOf(5, WorkClass::Short, milliseconds(20), late));
    CHECK_EQUAL(1u, actions.size());
    CHECK_TRUE(std::holds_alternative<Start>(actions[0]));
}

TEST(AdmissionController, UrgentLongWorkUsesOneMoreSlot)
{
    const TimePoint now{std::chrono::hours(1)};
    AdmissionController admission({3, 1, 100});
    for (std::uint64_t id = 1; id <= 3; ++id)
        admission.submit(
            now, requestOf(id, WorkClass::Long, milliseconds(1000), now + milliseconds(5000)));
    CHECK_EQUAL(1u, admission.runningCount());
    admission.tick(now + milliseconds(3100));
    CHECK_EQUAL(2u, admission.runningCount());
}

/// Formats \a actions as the trace files do.
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

/// Replays a line "at TIME submit ID short|long WORK DUE -> ACTIONS" or "at TIME finish ID ->
/// ACTIONS". TIME and the expected running time WORK are in ms, as is the deadline DUE, which
/// counts from TIME. Returns the actual actions.
static std::vector<AdmissionAction> replayLine(AdmissionController &admission,
                                               const TraceLine &line)
{
    const TimePoint now = TimePoint(std::chrono::hours(1)) + milliseconds(std::stol(line[1]));
    if (line[2] == "finish")
        return admission.finish(now, RequestId(std::stoul(line[3])));
    const auto workClass = line[4] == "long" ? WorkClass::Long : WorkClass::Short;
    return admission.submit(now, requestOf(std::stoul(line[3]), workClass,
                                           milliseconds(std::stol(line[5])),
                                           now + milliseconds(std::stol(line[6]))));
}

TEST(AdmissionController, RecordedTracesGiveStatedActions)
{
    replayTraces("requests", [](const std::string &name, const std::vector<TraceLine> &lines) {
        AdmissionController admission({3, 1, 100});
        for (const TraceLine &line : lines) {
            std::string expectedActions;
            const auto arrow = std::find(line.begin(), line.end(), "->");
            for (auto word = arrow + 1; word != line.end(); ++word)
                expectedActions += (expectedActions.empty() ? "" : " ") + *word;
            STRCMP_EQUAL_TEXT(expectedActions.c_str(), textOf(replayLine(admission, line)).c_str(),
                              name.c_str());
        }
    });
}

TEST(AdmissionController, UrgentLongWorkUsesNoThirdSlot)
{
    const TimePoint now{std::chrono::hours(1)};
    AdmissionController admission({4, 1, 100});
    for (std::uint64_t id = 1; id <= 3; ++id)
        admission.submit(
            now, requestOf(id, WorkClass::Long, milliseconds(1000), now + milliseconds(5000)));
    admission.tick(now + milliseconds(3100));
    CHECK_EQUAL(2u, admission.runningCount());
    CHECK_EQUAL(1u, admission.waitingCount());
}
