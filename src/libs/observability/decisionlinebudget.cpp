#include "observability/decisionlinebudget.h"

#include <utility>

namespace Observability {

void DecisionLineBudget::endSecond(TimePoint now)
{
    if (now - since_ < std::chrono::seconds(1))
        return;
    since_ = now;
    written_ = 0;
    for (const auto &[event, count] : counts_) {
        if (count.omitted > 0)
            omissions_.push_back({event, count.omitted});
    }
    counts_.clear();
}

bool DecisionLineBudget::tryAcquire(TimePoint now, std::string_view event)
{
    endSecond(now);
    auto entry = counts_.find(event);
    if (entry == counts_.end())
        entry = counts_.try_emplace(std::string(event)).first;
    Count &count = entry->second;
    if (written_ >= MaxDecisionLinesPerSecond || count.written >= MaxLinesPerEvent) {
        ++count.omitted;
        return false;
    }
    ++count.written;
    ++written_;
    return true;
}

std::vector<DecisionLineBudget::Omission> DecisionLineBudget::takeOmissions(TimePoint now)
{
    endSecond(now);
    return std::exchange(omissions_, {});
}

} // namespace Observability
