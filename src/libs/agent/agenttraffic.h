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

/// What an agent's traffic thread needs to know from its settings.
struct TrafficSettings
{
    Model::Instance self;
    Model::Endpoint fabric;
    Model::Endpoint backend;
    std::chrono::milliseconds warmUp{0};
    std::uint16_t maximumPacketBytes = 0;
};

/// Counts of one agent's packets and flows since its start.
struct TrafficCounters
{
    std::uint64_t received = 0;
    std::uint64_t delivered = 0;
    std::uint64_t passedOn = 0;
    std::uint64_t malformed = 0;
    std::uint64_t requestsRefused = 0; ///< without a peer to move the flow to
    std::uint64_t flowsOpened = 0;
    std::uint64_t flowsAdopted = 0;
    std::uint64_t flowsMoved = 0;
    std::uint64_t requestsOffered = 0; ///< waiting requests offered to a peer with their flow
    std::uint64_t flowsBroken = 0;
    std::uint64_t controlBytesSent = 0;
    std::array<std::uint64_t, Flows::DropCauseCount> drops{};
    std::array<std::uint64_t, 4> transfers{}; ///< by TransferResult
};

/// The agent's traffic thread: packets in and out, flows, and their requests.
///
/// Decisions are left to FlowDirector, RequestRunner and Prober. Methods other than the
/// constructor and the destructor may be called from any thread.
class AgentTraffic
{
public:
    /// What the traffic thread tells the rest of the process. Called on the traffic thread.
    struct Handlers
    {
        std::function<void(Model::InstanceState)> stateChanged;
        std::function<void(const Membership::SuspectPeer &)> peerSuspect;
        std::function<void(const Membership::RemovePeer &)> peerForgotten;
        std::function<void(const Tunnel::StateNotice &)> stateNoticed;
        std::function<void()> generationMissed;
    };

    /// Binds the sockets. Throws std::system_error or kj::Exception.
    explicit AgentTraffic(TrafficSettings settings);
    ~AgentTraffic();
    AgentTraffic(const AgentTraffic &) = delete;
    AgentTraffic &operator=(const AgentTraffic &) = delete;

    /// Starts the thread. Called once.
    void start(Handlers handlers);

    /// Uses \a table from now on.
    void setTable(std::shared_ptr<const Routing::RoutingTable> table);

    /// Takes nothing new from now on, and moves the open flows to peers.
    void drain();

    /// Closes the flows that no peer took; part of a stop, after drain().
    void closeRemainingFlows();

    /// Returns the number of open flows and requests.
    std::size_t openWorkCount();

    /// Returns the state for a dump.
    nlohmann::json state();

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Session
    {
        Requests::RequestReader reader;
        std::string outgoing;
        std::size_t withheld = 0;    ///< received bytes whose window is not opened yet
        bool closesWhenSent = false; ///< nothing follows what is outgoing
        bool farEndClosed = false;
        bool isMoving = false;
        TimePoint nextMove;
        std::optional<TimePoint> requestDeadline; ///< of a request that waited elsewhere before
        bool triedPeer = false; ///< the waiting request was offered to a peer already
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
    void noteBalancer(const Model::Endpoint &sender);
    void sendStateNotice(const Tunnel::StateNotice &notice);
    void onPacket(const Tunnel::Datagram &datagram, const Tunnel::PacketHeader &header,
                  Tunnel::Bytes packet);
    void passOn(const Tunnel::Datagram &datagram, const Tunnel::PacketHeader &header,
                Tunnel::Bytes packet);
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
    void pump(const Model::FlowKey &flow, Session &session);
    void write(const Model::FlowKey &flow, const std::string &bytes);
    void endAnswer(const Model::FlowKey &flow, bool keepsOpen);
    void finishFlow(const Model::FlowKey &flow, Session &session);
    void breakOff(const Model::FlowKey &flow);
    void giveBack(const Model::FlowKey &flow, const Requests::HttpRequest &request);
    void closeFlow(const Model::FlowKey &flow);
    Session *find(const Model::FlowKey &flow);

    void moveFlows(TimePoint now);
    void offerWaiting();
    bool tryMove(TimePoint now, const Model::FlowKey &flow, Session &session);
    bool startMove(const Model::FlowKey &flow, Session &session, const Routing::Hop &receiver,
                   std::chrono::milliseconds waitLimit);
    bool isShorterWait(std::chrono::milliseconds limit) const;
    void putBack(const RequestRunner::Withdrawn &withdrawn);
    std::optional<Routing::Hop> randomPeer();
    void refuseNext(TimePoint now, const Model::FlowKey &flow, Session &session);
    std::optional<Routing::Hop> receiverFor(const Model::FlowKey &flow, const Session &session);
    void onMoved(const Move &move, TransferResult result);
    void takeBack(const Move &move);
    TransferReply take(const FlowTransfer &transfer);
    void adopt(const FlowTransfer &transfer);

    void onBackendState(BackendState state);
    void updateState();
    void processAllRequests();
    void tick();
    void scheduleTick();
    bool mayStart(TimePoint now);
    Flows::Availability room() const;
    const Model::Instance *peerNamed(Model::InstanceId instance) const;

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
    TransferReplyCache transfers_;
    std::size_t movesInProgress_ = 0;
    std::uint64_t nextTransfer_;
    std::mt19937_64 random_;

    std::map<Model::Endpoint, TimePoint> balancers_; ///< who sent packets lately
    TimePoint nextStateNotice_;

    bool drainAsked_ = false;
    bool isLeaving_ = false;
    Model::InstanceState state_ = Model::InstanceState::Draining;
    TimePoint readySince_;
    TimePoint drainingSince_;
    TimePoint nextNotices_;
    TimePoint nextExpiry_;
    TrafficCounters counters_;

    PeerClient peerClient_;
    std::unique_ptr<PeerServer> peerServer_;
    std::thread thread_;
};

/// Runs \a function on the traffic thread and waits for its result.
template<typename F>
auto AgentTraffic::onTrafficThread(F function) -> decltype(function())
{
    auto task = std::make_shared<std::packaged_task<decltype(function())()>>(std::move(function));
    auto result = task->get_future();
    boost::asio::post(io_, [task] { (*task)(); });
    return result.get();
}

} // namespace Agent
