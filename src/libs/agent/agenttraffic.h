#pragma once

#include "agent/backendhealth.h"
#include "agent/peerrpc.h"
#include "agent/requestrunner.h"
#include "agent/transferreplycache.h"
#include "flows/flowdirector.h"
#include "membership/pausedetector.h"
#include "membership/prober.h"
#include "requests/requestreader.h"
#include "routing/routingtable.h"
#include "stack/tcpstack.h"
#include "tunnel/udpsocket.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <nlohmann/json_fwd.hpp>

#include <atomic>
#include <deque>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <unordered_map>

namespace Agent {

/// The part of an agent's settings that its traffic thread uses.
struct TrafficSettings
{
    Model::Instance self;
    Model::Endpoint fabric; ///< receives all packets to callers
    Model::Endpoint backend;
    std::chrono::milliseconds warmUp{0}; ///< until a ready backend server gets all its slots
    std::uint16_t maximumPacketBytes = 0;
};

/// Packet and flow counters of one agent, from its start on.
struct TrafficCounters
{
    std::uint64_t received = 0;
    std::uint64_t delivered = 0;
    std::uint64_t passedOn = 0;
    std::uint64_t returned = 0; ///< to the balancer, as no agent of the service owns the flow
    std::uint64_t malformed = 0;
    std::uint64_t requestsRefused = 0; ///< as their flow could not be moved to a peer
    std::uint64_t flowsOpened = 0;
    std::uint64_t flowsAdopted = 0;
    std::uint64_t flowsMoved = 0;
    std::uint64_t requestsOffered = 0; ///< waiting requests offered to a peer, with their flow
    std::uint64_t flowsBroken = 0;
    std::uint64_t controlBytesSent = 0;
    std::array<std::uint64_t, Flows::DropCauseCount> drops{};
    std::array<std::uint64_t, 4> transfers{}; ///< indexed by TransferResult
};

/// The agent's traffic thread, which handles packets, flows and their requests.
///
/// FlowDirector, RequestRunner and Prober make the decisions. Methods other than the constructor
/// and the destructor may be called from any thread, except where stated.
class AgentTraffic
{
public:
    /// Callbacks into the rest of the process, called on the traffic thread.
    struct Handlers
    {
        std::function<void(Model::InstanceState)> stateChanged; ///< of this instance
        std::function<void(const Membership::SuspectPeer &)> peerSuspect;
        std::function<void(const Membership::RemovePeer &)> peerRemoved;
        /// A state notice arrived, or a peer became suspect.
        std::function<void(const Tunnel::StateNotice &)> stateNoticed;
        /// A datagram with a newer generation than that of the routing table arrived.
        std::function<void()> newerGenerationSeen;
    };

    /// Binds the sockets. Throws std::system_error or kj::Exception if that fails.
    explicit AgentTraffic(TrafficSettings settings);
    ~AgentTraffic();
    AgentTraffic(const AgentTraffic &) = delete;
    AgentTraffic &operator=(const AgentTraffic &) = delete;

    /// Starts the thread. Called once.
    void start(Handlers handlers);

    /// Replaces the routing table by \a table. Returns before the table is in use.
    void setTable(std::shared_ptr<const Routing::RoutingTable> table);

    /// Stops accepting flows and requests, and starts to move the open flows to peers. Returns at
    /// once.
    void drain();

    /// Closes the flows that no peer took over, except those that are being moved. Called after
    /// drain() on shutdown. Returns at once.
    void closeRemainingFlows();

    /// Returns the number of open flows plus the running and waiting requests. Blocks until the
    /// traffic thread has answered, so it must not be called on it or before start().
    std::size_t openWorkCount();

    /// Returns the state for a dump. Blocks like openWorkCount().
    nlohmann::json state();

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Session
    {
        Requests::RequestReader reader;
        std::string outgoing;
        std::size_t unconsumedBytes = 0; ///< received bytes not yet returned to the TCP window
        bool closesWhenSent = false;     ///< the flow closes after \c outgoing is sent
        bool remoteClosed = false;
        bool isMoving = false;
        TimePoint nextMoveAttempt;
        std::optional<TimePoint> requestDeadline; ///< of the next request, if it waited before
        bool wasOfferedToPeer = false; ///< the waiting request was already offered to a peer
        std::set<Model::InstanceId> refusedBy;
    };

    struct Move
    {
        FlowTransfer transfer;
        Routing::Hop receiver;
    };

    template<typename F>
    auto onTrafficThread(F function) -> decltype(function());

    void run();
    void waitForPackets();
    void receivePackets();
    void onDatagram(Tunnel::Bytes bytes, const Model::Endpoint &sender);
    void recordBalancer(const Model::Endpoint &sender);
    void sendStateNotice(const Tunnel::StateNotice &notice);
    void onPacket(const Tunnel::Datagram &datagram, const Tunnel::PacketHeader &header,
                  Tunnel::Bytes packet);
    void forwardPacket(const Tunnel::Datagram &datagram, const Tunnel::PacketHeader &header,
                       Tunnel::Bytes packet);
    void returnPacket(const Tunnel::Datagram &datagram, Tunnel::Bytes packet);
    void onRedirects(const Tunnel::Redirects &redirects);
    void sendRedirects(const Routing::Hop &receiver, const std::vector<Tunnel::ClaimedFlow> &flows);
    void sendControl(const Model::Endpoint &receiver, Tunnel::Datagram datagram);
    void carryOut(const std::vector<Membership::ProberAction> &actions);
    void sendOwnershipNotices();

    void drainStackEvents();
    void onEvent(const Stack::SynAckSent &event);
    void onEvent(const Stack::Opened &event);
    void onEvent(const Stack::Received &event);
    void onEvent(const Stack::Writable &event);
    void onEvent(const Stack::RemoteClosed &event);
    void onEvent(const Stack::Aborted &event);

    void processRequests(const Model::FlowKey &flow, Session &session);
    void flushOutgoing(const Model::FlowKey &flow, Session &session);
    void write(const Model::FlowKey &flow, const std::string &bytes);
    void finishResponse(const Model::FlowKey &flow, bool keepsOpen);
    void closeAfterResponses(const Model::FlowKey &flow, Session &session);
    void abortFlow(const Model::FlowKey &flow);
    void onBackendUnreachable(const Model::FlowKey &flow, const Requests::HttpRequest &request);
    void closeFlow(const Model::FlowKey &flow);
    Session *find(const Model::FlowKey &flow);

    void moveFlows(TimePoint now);
    void offerWaitingRequests();
    bool tryMove(TimePoint now, const Model::FlowKey &flow, Session &session);
    bool startMove(const Model::FlowKey &flow, Session &session, const Routing::Hop &receiver,
                   std::chrono::milliseconds waitLimit);
    bool isShorterWait(std::chrono::milliseconds limit) const;
    void requeue(const RequestRunner::WithdrawnRequest &withdrawn);
    std::optional<Routing::Hop> randomPeer();
    void refuseNextRequest(TimePoint now, const Model::FlowKey &flow, Session &session);
    std::optional<Routing::Hop> receiverFor(const Model::FlowKey &flow, const Session &session);
    void onMoveFinished(const Move &move, TransferResult result);
    void rollBackMove(const Move &move);
    TransferReply acceptTransfer(const FlowTransfer &transfer);
    void adoptFlow(const FlowTransfer &transfer);

    void onBackendState(BackendState state);
    void updateState();
    void processAllRequests();
    void tick();
    void scheduleTick();
    bool mayStartRequests(TimePoint now);
    Flows::Availability availability() const;
    const Model::Instance *findPeer(Model::InstanceId instance) const;

    TrafficSettings settings_;
    Handlers handlers_;
    Routing::Hop self_;
    Model::ServiceId service_;

    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    boost::asio::posix::stream_descriptor socket_;
    boost::asio::steady_timer timer_;
    Tunnel::ReceiveBatch received_;

    std::shared_ptr<const Routing::RoutingTable> table_;
    const Routing::ServiceTable *serviceTable_ = nullptr;
    Flows::FlowDirector director_;
    RequestRunner runner_;
    BackendHealth health_;
    Membership::Prober prober_;
    Membership::PauseDetector pauseDetector_;
    std::unique_ptr<Stack::TcpStack> stack_;
    std::atomic<bool> eventsPosted_ = false;

    std::unordered_map<Model::FlowKey, Session> sessions_;
    TransferReplyCache transferReplies_;
    std::size_t movesInProgress_ = 0;
    std::uint64_t nextTransferId_;
    std::mt19937_64 random_;

    std::map<Model::Endpoint, TimePoint> balancers_; ///< time of each balancer's latest packet
    TimePoint nextStateNotice_;

    bool drainRequested_ = false;
    bool isLeaving_ = false;
    Model::InstanceState state_ = Model::InstanceState::Draining;
    TimePoint readySince_;
    TimePoint drainingSince_;
    TimePoint nextOwnershipNotices_;
    TimePoint nextExpiry_;
    TrafficCounters counters_;

    PeerClient peerClient_;
    std::unique_ptr<PeerServer> peerServer_;
    std::thread thread_;
};

/// Runs \a function on the traffic thread and returns its result. Deadlocks when called on the
/// traffic thread, or before start().
template<typename F>
auto AgentTraffic::onTrafficThread(F function) -> decltype(function())
{
    auto task = std::make_shared<std::packaged_task<decltype(function())()>>(std::move(function));
    auto result = task->get_future();
    boost::asio::post(io_, [task] { (*task)(); });
    return result.get();
}

} // namespace Agent
