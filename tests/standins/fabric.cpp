#include "standins.h"

#include "tunnel/tcppacket.h"
#include "tunnel/udpsocket.h"

#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>

#include <gflags/gflags.h>
#include <poll.h>

#include <atomic>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

DEFINE_string(fabric_listen, "127.0.0.1:7100",
              "endpoint that receives packets from callers and agents");
DEFINE_string(fabric_admin, "127.0.0.1:7101",
              "HTTP endpoint that sets balancers, services and faults");
DEFINE_uint64(fabric_seed, 1, "seed of the random choices of balancers and faults");

namespace Standins {

static constexpr double NoFault = 0.0;

namespace {

/// Distributes the packets of callers over the balancers at random, and returns those of agents.
///
/// A packet to a service's address goes to a balancer. One to a caller's endpoint goes to the
/// socket from which that caller's latest packet came. Faults apply to both directions.
class Fabric
{
public:
    Fabric(const Model::Endpoint &listen, std::uint64_t seed);

    void run();
    void stop() { stopping_ = true; }
    nlohmann::json configure(const nlohmann::json &json);

private:
    void onDatagram(Tunnel::Bytes datagram, const Model::Endpoint &sender);
    void send(Tunnel::Bytes datagram, const Model::Endpoint &receiver);
    bool happens(double probability);

    int socket_;
    std::atomic<bool> stopping_ = false;
    std::mutex mutex_;
    std::mt19937_64 random_;
    std::vector<Model::Endpoint> balancers_;
    std::map<std::uint32_t, bool> services_;
    double dropProbability_ = NoFault;
    double duplicateProbability_ = NoFault;
    double reorderProbability_ = NoFault;
    std::map<Model::Endpoint, Model::Endpoint> callerSockets_;
    std::vector<std::byte> heldDatagram_;
    Model::Endpoint heldReceiver_;
};

Fabric::Fabric(const Model::Endpoint &listen, std::uint64_t seed)
    : socket_(Tunnel::openUdpSocket(listen))
    , random_(seed)
{}

nlohmann::json Fabric::configure(const nlohmann::json &json)
{
    const std::lock_guard guard(mutex_);
    if (json.contains("balancers")) {
        balancers_.clear();
        for (const std::string text : json["balancers"])
            balancers_.push_back(Model::parseEndpoint(text).value());
    }
    if (json.contains("services")) {
        services_.clear();
        for (const std::string text : json["services"])
            services_[Model::parseEndpoint(text).value().address] = true;
    }
    dropProbability_ = json.value("drop", dropProbability_);
    duplicateProbability_ = json.value("duplicate", duplicateProbability_);
    reorderProbability_ = json.value("reorder", reorderProbability_);
    return json;
}

bool Fabric::happens(double probability)
{
    return probability > 0 && std::bernoulli_distribution(probability)(random_);
}

void Fabric::send(Tunnel::Bytes datagram, const Model::Endpoint &receiver)
{
    if (happens(dropProbability_))
        return;
    if (heldDatagram_.empty() && happens(reorderProbability_)) {
        heldDatagram_.assign(datagram.begin(), datagram.end());
        heldReceiver_ = receiver;
        return;
    }
    Tunnel::sendDatagram(socket_, datagram, {}, receiver);
    if (happens(duplicateProbability_))
        Tunnel::sendDatagram(socket_, datagram, {}, receiver);
    if (!heldDatagram_.empty()) {
        Tunnel::sendDatagram(socket_, heldDatagram_, {}, heldReceiver_);
        heldDatagram_.clear();
    }
}

void Fabric::onDatagram(Tunnel::Bytes datagram, const Model::Endpoint &sender)
{
    const auto packet = Tunnel::unwrapGre(datagram);
    if (!packet)
        return;
    const auto parsed = Tunnel::parseTcpPacket(*packet);
    const auto *const tcp = std::get_if<Tunnel::TcpPacket>(&parsed);
    if (!tcp)
        return;
    const std::lock_guard guard(mutex_);
    if (services_.contains(tcp->flow.service.address)) {
        callerSockets_[tcp->flow.caller] = sender;
        if (!balancers_.empty())
            send(datagram, balancers_[random_() % balancers_.size()]);
    } else if (const auto caller = callerSockets_.find(tcp->flow.service);
               caller != callerSockets_.end()) {
        send(datagram, caller->second);
    }
}

void Fabric::run()
{
    Tunnel::ReceiveBatch batch;
    while (!stopping_) {
        pollfd waiting{socket_, POLLIN, 0};
        if (poll(&waiting, 1, 100) <= 0)
            continue;
        const std::size_t count = batch.receive(socket_);
        for (std::size_t index = 0; index < count; ++index)
            onDatagram(batch.datagram(index), batch.sender(index));
    }
}

} // namespace

int runFabric()
{
    const auto listen = Model::parseEndpoint(FLAGS_fabric_listen);
    const auto admin = Model::parseEndpoint(FLAGS_fabric_admin);
    if (!listen || !admin)
        return 2;
    Fabric fabric(*listen, FLAGS_fabric_seed);
    const auto server = serveHttp(*admin, 2, [&fabric](auto &request, auto &response) {
        sendJson(response, 200, fabric.configure(nlohmann::json::parse(readBody(request))));
    });
    std::thread thread([&fabric] { fabric.run(); });
    waitForStopSignal();
    std::_Exit(0);
}

} // namespace Standins
