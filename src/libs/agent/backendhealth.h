#pragma once

#include "agent/backendcall.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace Agent {

enum class BackendState {
    Starting, ///< not reachable yet, or not ready
    Ready,
    Draining, ///< its rental ends
    Gone,     ///< was reachable, and isn't any more
};

/// Returns the name of \a state in dumps. Thread-safe.
const char *backendStateText(BackendState state);

/// Asks the backend server beside the agent how it is. Lives on the traffic thread.
///
/// Only a drain notice and unreachability count; the reported load may lag and is not used.
class BackendHealth
{
public:
    using Changed = std::function<void(BackendState)>;

    BackendHealth(boost::asio::io_context &io, const Model::Endpoint &backend, Changed changed);

    /// Begins to ask.
    void start();

    /// Notes that a request could not connect.
    void noteUnreachable();

    BackendState state() const { return state_; }

private:
    void ask();
    void wait();
    void onAnswer(unsigned status, const std::string &body);
    void onFailure();
    void change(BackendState state);

    boost::asio::io_context &io_;
    boost::asio::steady_timer timer_;
    Model::Endpoint backend_;
    Changed changed_;
    std::shared_ptr<BackendCall> call_;
    std::string body_;
    unsigned status_ = 0;
    int failures_ = 0;
    BackendState state_ = BackendState::Starting;
};

} // namespace Agent
