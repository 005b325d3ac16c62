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
                             Changed changed)
    : io_(io)
    , timer_(io)
    , backend_(backend)
    , changed_(std::move(changed))
{}

void BackendHealth::start()
{
    ask();
}

void BackendHealth::ask()
{
    body_.clear();
    BackendCall::Handlers handlers;
    handlers.onHead = [this](const ResponseHead &head) { status_ = head.status; };
    handlers.onBody = [this](const std::string &part) {
        if (body_.size() < MaxHealthBodyBytes)
            body_ += part;
        call_->readMore();
    };
    handlers.onDone = [this] { onAnswer(status_, body_); };
    handlers.onFailed = [this](BackendFailure) { onFailure(); };
    const Requests::HttpRequest request{"GET", "/health", {}, {}, false};
    call_ = BackendCall::start(io_, backend_, request, ResponseTimeout, ResponseTimeout,
                               std::move(handlers));
}

void BackendHealth::wait()
{
    timer_.expires_after(PollInterval);
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error)
            ask();
    });
}

void BackendHealth::onAnswer(unsigned status, const std::string &body)
{
    failures_ = 0;
    const auto answer = nlohmann::json::parse(body, nullptr, false);
    const bool isReadable = status == StatusOk && answer.is_object() && answer.contains("state")
                            && answer["state"].is_string();
    const std::string state = isReadable ? answer["state"].get<std::string>() : "";
    if (state == "ready")
        change(BackendState::Ready);
    else if (state == "draining")
        change(BackendState::Draining);
    else if (state == "starting" && state_ != BackendState::Ready)
        change(BackendState::Starting);
    wait();
}

void BackendHealth::onFailure()
{
    ++failures_;
    if (failures_ >= FailuresUntilGone && state_ != BackendState::Starting)
        change(BackendState::Gone);
    wait();
}

void BackendHealth::noteUnreachable()
{
    failures_ = FailuresUntilGone;
    if (state_ != BackendState::Starting)
        change(BackendState::Gone);
}

void BackendHealth::change(BackendState state)
{
    if (state == state_)
        return;
    state_ = state;
    changed_(state);
}

} // namespace Agent
