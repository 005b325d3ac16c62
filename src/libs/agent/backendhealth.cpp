#include "agent/backendhealth.h"

#include <nlohmann/json.hpp>

namespace Agent {

static constexpr std::chrono::milliseconds PollInterval{250};
static constexpr std::chrono::milliseconds ResponseTimeout{1000};
static constexpr int FailuresUntilGone = 3;
static constexpr std::size_t MaxHealthBodyBytes = 4096;
static constexpr unsigned StatusOk = 200;

const char *backendStateText(BackendState state)
{
    switch (state) {
    case BackendState::Starting:
        return "starting";
    case BackendState::Ready:
        return "ready";
    case BackendState::Draining:
        return "draining";
    case BackendState::Gone:
        return "gone";
    }
    return "unknown";
}

BackendHealth::BackendHealth(boost::asio::io_context &io, const Model::Endpoint &backend,
                             StateHandler stateHandler)
    : io_(io)
    , timer_(io)
    , backend_(backend)
    , stateHandler_(std::move(stateHandler))
{}

void BackendHealth::start()
{
    sendHealthCheck();
}

void BackendHealth::sendHealthCheck()
{
    body_.clear();
    BackendCall::Handlers handlers;
    handlers.onHead = [this](const ResponseHead &head) { status_ = head.status; };
    handlers.onBody = [this](const std::string &part) {
        if (body_.size() < MaxHealthBodyBytes)
            body_ += part;
        call_->readMore();
    };
    handlers.onDone = [this] { onResponse(status_, body_); };
    handlers.onFailed = [this](BackendFailure) { onFailure(); };
    const Requests::HttpRequest request{"GET", "/health", {}, {}, false};
    call_ = BackendCall::start(io_, backend_, request, ResponseTimeout, ResponseTimeout,
                               std::move(handlers));
}

void BackendHealth::scheduleHealthCheck()
{
    timer_.expires_after(PollInterval);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            sendHealthCheck();
    });
}

void BackendHealth::onResponse(unsigned status, const std::string &body)
{
    failures_ = 0;
    const auto response = nlohmann::json::parse(body, nullptr, false);
    const bool isReadable = status == StatusOk && response.is_object() && response.contains("state")
                            && response["state"].is_string();
    const std::string state = isReadable ? response["state"].get<std::string>() : "";
    if (state == "ready")
        setState(BackendState::Ready);
    else if (state == "draining")
        setState(BackendState::Draining);
    else if (state == "starting" && state_ != BackendState::Ready)
        setState(BackendState::Starting);
    scheduleHealthCheck();
}

void BackendHealth::onFailure()
{
    ++failures_;
    if (failures_ >= FailuresUntilGone && state_ != BackendState::Starting)
        setState(BackendState::Gone);
    scheduleHealthCheck();
}

void BackendHealth::reportUnreachable()
{
    failures_ = FailuresUntilGone;
    if (state_ != BackendState::Starting)
        setState(BackendState::Gone);
}

void BackendHealth::setState(BackendState state)
{
    if (state == state_)
        return;
    state_ = state;
    stateHandler_(state);
}

} // namespace Agent
