#include "placement/failuremeter.h"

namespace Placement {

/// Weight of the newest answer: four failures in a row reach AgentSelector's OutlierFailureShare, a single one
/// does not.
static constexpr double NewestAnswerWeight = 0.1;

/// Time without an answer after which the share is halved, so that a server that gets no flows is
/// tried again. Two seconds cost a server that still fails a few requests in four seconds.
static constexpr std::chrono::seconds HalfLife{2};

void FailureMeter::onAnswer(TimePoint now, bool failed)
{
    share_ += NewestAnswerWeight * ((failed ? 1 : 0) - share_);
    lastChange_ = now;
}

double FailureMeter::share(TimePoint now)
{
    while (share_ > 0 && now - lastChange_ >= HalfLife) {
        share_ = share_ < NewestAnswerWeight / 2 ? 0 : share_ / 2;
        lastChange_ += HalfLife;
    }
    return share_;
}

} // namespace Placement
