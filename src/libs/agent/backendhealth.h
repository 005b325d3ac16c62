#pragma once

#include "agent/backendcall.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace Agent {

enum class BackendState {
    Starting, ///< not reachable yet, or not ready
    Ready,
    Draining, ///< announced that it will stop, as its rental ends
    Gone,     ///< was reachable, but no longer is
};

/// Returns the name of \a state in dumps. Thread-safe.
const char *backendStateText(BackendState state);

/// Polls /health on the agent's own backend server. Used on the traffic thread only.
///
/// For a ready server only a drain notice and unreachability count. The reported load may be out
/// of date and is not used.
class BackendHealth
{
public:
    /// Called on the traffic thread with the new state.
    using StateHandler = std::function<void(BackendState)>;

    BackendHealth(boost::asio::io_context &io, const Model::Endpoint &backend,
                  StateHandler stateHandler);

    /// Starts polling.
    void start();

    /// Records that a request could not connect. The state becomes Gone, unless it is Starting.
    void reportUnreachable();

    BackendState state() const { return state_; }

private:
    void sendHealthCheck();
    void scheduleHealthCheck();
    void onResponse(unsigned status, const std::string &body);
    void onFailure();
    void setState(BackendState state);

    boost::asio::io_context &io_;
    boost::asio::steady_timer timer_;
    Model::Endpoint backend_;
    StateHandler stateHandler_;
    std::shared_ptr<BackendCall> call_;
    std::string body_;
    unsigned status_ = 0;
    int failures_ = 0;
    BackendState state_ = BackendState::Starting;
};

} // namespace Agent
