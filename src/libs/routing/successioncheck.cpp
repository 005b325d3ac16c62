#include "routing/successioncheck.h"

#include <algorithm>

namespace Routing {

void SuccessionCheck::onConfiguration(TimePoint now, Model::Generation previous,
                                      Model::Generation next, Succession succession)
{
    expire(now);
    if (previous != Model::Generation{})
        own_[previous] = now;
    own_[next] = now;
    if (unconfirmed_)
        unconfirmed_->after = next;
    else if (succession == Succession::Unknown && previous != Model::Generation{})
        unconfirmed_ = {previous, next};
}

void SuccessionCheck::onReport(TimePoint now, const std::string &balancer,
                               Model::Generation generation, Model::Generation previous)
{
    Reported &latest = reports_[balancer];
    // A report that was overtaken still shows what was in force.
    latest = {std::max(latest.generation, generation), now};
    for (const Model::Generation inForce : {generation, previous}) {
        if (inForce != Model::Generation{})
            heard_[inForce] = now;
    }
}

/// Whether \a generation was in force elsewhere in the unconfirmed span, but not here.
bool SuccessionCheck::isMissed(Model::Generation generation) const
{
    return generation > unconfirmed_->before && generation < unconfirmed_->after
           && !own_.contains(generation);
}

bool SuccessionCheck::confirm(TimePoint now, const std::vector<std::string> &balancers)
{
    if (!unconfirmed_)
        return false;
    expire(now);
    const auto hasFollowed = [this](const std::string &balancer) {
        const auto report = reports_.find(balancer);
        return report != reports_.end() && report->second.generation >= unconfirmed_->after;
    };
    // One that is gone may have run on unheard, with configurations that nobody else had.
    const bool haveAllFollowed =
        std::all_of(balancers.begin(), balancers.end(), hasFollowed)
        && std::all_of(reports_.begin(), reports_.end(),
                       [&](const auto &report) { return hasFollowed(report.first); });
    const bool hasMissed = std::any_of(heard_.begin(), heard_.end(),
                                       [this](const auto &heard) { return isMissed(heard.first); });
    if (!haveAllFollowed || hasMissed)
        return false;
    unconfirmed_.reset();
    return true;
}

void SuccessionCheck::expire(TimePoint now)
{
    if (memory_.count() == 0)
        return;
    const auto isOld = [&](TimePoint at) { return now - at >= memory_; };
    std::erase_if(own_, [&](const auto &entry) { return isOld(entry.second); });
    std::erase_if(heard_, [&](const auto &entry) { return isOld(entry.second); });
    std::erase_if(reports_, [&](const auto &entry) { return isOld(entry.second.at); });
}

} // namespace Routing
