#include "agent/agenttraffic.h"

#include <nlohmann/json.hpp>

namespace Agent {

nlohmann::json AgentTraffic::state()
{
    return onTrafficThread([this] {
        const RequestCounters &requests = runner_.counters();
        nlohmann::json drops;
        for (std::size_t cause = 0; cause < counters_.drops.size(); ++cause)
            drops[Flows::dropCauseText(Flows::DropCause(cause))] = counters_.drops[cause];
        nlohmann::json refusals;
        for (std::size_t cause = 0; cause < requests.refusals.size(); ++cause)
            refusals[Requests::refusalText(Requests::RefusalCause(cause))] =
                requests.refusals[cause];
        nlohmann::json transfers;
        for (std::size_t result = 0; result < counters_.transfers.size(); ++result)
            transfers[transferResultText(TransferResult(result))] = counters_.transfers[result];
        return nlohmann::json{
            {"role", "agent"},
            {"name", settings_.self.name},
            {"service", settings_.self.service},
            {"incarnation", std::uint64_t(self_.incarnation)},
            {"state", Model::stateText(state_)},
            {"backend", backendStateText(health_.state())},
            {"generation", table_ ? std::uint64_t(table_->generation()) : 0},
            {"inDoubt", pauseDetector_.isUnconfirmed()},
            {"flows",
             {{"open", sessions_.size()},
              {"redirects", director_.redirectCount()},
              {"opened", counters_.flowsOpened},
              {"adopted", counters_.flowsAdopted},
              {"moved", counters_.flowsMoved},
              {"offeredWithRequest", counters_.requestsOffered},
              {"broken", counters_.flowsBroken},
              {"transfers", transfers}}},
            {"packets",
             {{"received", counters_.received},
              {"delivered", counters_.delivered},
              {"passedOn", counters_.passedOn},
              {"returned", counters_.returned},
              {"malformed", counters_.malformed},
              {"controlBytesSent", counters_.controlBytesSent},
              {"dropped", drops}}},
            {"requests",
             {{"running", runner_.runningCount()},
              {"waiting", runner_.waitingCount()},
              {"submitted", requests.submitted},
              {"answered", requests.answered},
              {"unknown", requests.unknown},
              {"retries", requests.retries},
              {"repeatsAnswered", requests.repeatsAnswered},
              {"feedsOpened", requests.feedsOpened},
              {"queueMicroseconds", requests.queueTime.count()},
              {"refused", refusals}}},
        };
    });
}

} // namespace Agent
