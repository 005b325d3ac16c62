#pragma once

#include "agent/flowtransfer.h"
#include "model/endpoint.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

namespace Agent {

/// How a transfer of a flow ended.
enum class TransferResult {
    Taken,   ///< the receiver owns the flow
    NotSent, ///< the receiver never saw the transfer
    Refused, ///< the receiver did not take the flow
    Unknown, ///< the receiver may have taken it; it must not go on here
};

/// What a receiver says of a transfer.
enum class TransferReply {
    Taken,
    Refused,       ///< not taken, and never will be under this id
    OtherInstance, ///< the receiver is not the one meant, or another incarnation of it
};

/// Returns the name of \a result in logs and metrics. Thread-safe.
const char *transferResultText(TransferResult result);

/// Answers peers' calls on a thread of its own.
class PeerServer
{
public:
    struct Handlers
    {
        /// Whether this agent is the one meant and has room, and a shorter wait than the last
        /// argument unless that is 0. Called on the server's thread.
        std::function<bool(Model::InstanceId, Model::Incarnation, std::chrono::milliseconds)> offer;
        /// Takes the flow, or refuses it. Called on the server's thread; may block.
        std::function<TransferReply(FlowTransfer)> take;
    };

    /// Serves at \a endpoint. Throws kj::Exception if it can't be bound.
    PeerServer(const Model::Endpoint &endpoint, Handlers handlers);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

private:
    class Stopper;
    void run(const Model::Endpoint &endpoint, std::promise<void> &started);

    Handlers handlers_;
    std::unique_ptr<Stopper> stopper_;
    std::thread thread_;
};

/// Calls peers on a thread of its own, one transfer after the other.
class PeerClient
{
public:
    /// Called on the client's thread.
    using Done = std::function<void(TransferResult)>;

    PeerClient();
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /// Passes \a transfer to the peer at \a endpoint. Thread-safe.
    void transfer(const Model::Endpoint &endpoint, FlowTransfer transfer, Done done);

private:
    struct Job
    {
        Model::Endpoint endpoint;
        FlowTransfer transfer;
        Done done;
        int attempts = 0;
        bool mayHaveArrived = false;
        std::chrono::steady_clock::time_point notBefore;
    };

    void run();
    std::optional<TransferResult> attempt(Job &job);
    std::optional<TransferResult> call(Job &job) const;

    std::mutex mutex_;
    std::condition_variable wake_;
    std::deque<Job> jobs_;
    bool stopping_ = false;
    std::map<Model::Endpoint, std::chrono::steady_clock::time_point> unreachableUntil_;
    std::thread thread_;
};

} // namespace Agent
