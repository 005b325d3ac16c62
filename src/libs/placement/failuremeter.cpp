#include "placement/failuremeter.h"

namespace Placement {

/// Weight of the newest response: four failures in a row reach OutlierFailureShare of
/// AgentSelector, a single one does not.
static constexpr double NewestAnswerWeight = 0.1;

/// Time without a response after which the share is halved, so that a server that gets no flows is
/// tried again. With two seconds, a server that still fails costs a few requests in four seconds.
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
