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

/// Outcome of a flow transfer for its sender.
enum class TransferResult {
    Taken,   ///< the receiver owns the flow
    NotSent, ///< the transfer did not reach the receiver
    Refused, ///< the receiver did not take the flow
    Unknown, ///< the receiver may own the flow, so the sender must not continue it
};

/// Reply of the receiver to a transfer.
enum class TransferReply {
    Taken,
    Refused,       ///< not taken; repeats with the same id are refused too
    OtherInstance, ///< addressed to another instance, or another incarnation of this one
};

/// Returns the name of \a result in logs and metrics. Thread-safe.
const char *transferResultText(TransferResult result);

/// Serves the RPC calls of peers on a thread of its own.
class PeerServer
{
public:
    struct Handlers
    {
        /// Returns whether this agent is the addressed instance and incarnation, has capacity for
        /// one more flow, and expects a shorter wait than the last argument (0: no limit). Called
        /// on the server's thread; may block.
        std::function<bool(Model::InstanceId, Model::Incarnation, std::chrono::milliseconds)> offer;
        /// Takes over the flow, or refuses it. Called on the server's thread; may block.
        std::function<TransferReply(FlowTransfer)> take;
    };

    /// Starts to serve at \a endpoint. Throws kj::Exception if the endpoint can't be bound.
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

/// Transfers flows to peers on a thread of its own, one call at a time.
class PeerClient
{
public:
    /// Called once per transfer, on the client's thread. Not called for transfers that are pending
    /// when the client is destroyed.
    using Done = std::function<void(TransferResult)>;

    PeerClient();
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /// Queues \a transfer for the peer at \a endpoint, and returns at once. The transfer is
    /// repeated while its outcome is unknown, up to a limit. Thread-safe.
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
