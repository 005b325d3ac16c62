#include "standins.h"

#include "stack/tcpstack.h"
#include "tunnel/udpsocket.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <fmt/format.h>
#include <gflags/gflags.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

DEFINE_string(caller_listen, "127.0.0.1:7300", "endpoint that receives packets from the fabric");
DEFINE_string(caller_fabric, "127.0.0.1:7100", "endpoint of the fabric");
DEFINE_string(caller_address, "10.99.0.1", "IPv4 address of the callers");
DEFINE_string(caller_service, "10.40.0.1:80", "endpoint of the service");
DEFINE_string(caller_service_name, "order-desk", "service name expected in responses");
DEFINE_uint64(caller_orders, 10, "number of flows that send orders");
DEFINE_uint64(caller_manifests, 1, "number of flows that send manifests");
DEFINE_uint64(caller_feeds, 10, "number of flows that read the feed");
DEFINE_uint64(caller_order_pause_ms, 200, "mean pause between the orders of a flow, in ms");
DEFINE_uint64(caller_manifest_bytes, 1000000, "size of a manifest and of its response, in bytes");
DEFINE_uint64(caller_seconds, 10, "time during which requests are sent, in s");
DEFINE_uint64(caller_seed, 1, "seed of the random pauses and flow lifetimes");
DEFINE_uint64(caller_mean_requests, 20, "mean number of requests on a flow before it is replaced");

namespace Standins {

namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

static constexpr std::uint16_t CallerPacketBytes = 1500;
static constexpr std::uint16_t FirstPort = 10000;
static constexpr milliseconds ResponseTimeout{20000};
static constexpr milliseconds FeedTimeout{10000};
static constexpr milliseconds ShutdownTimeout{25000};

namespace {

enum class FlowKind { Orders, Manifests, Feed };

using Parser = http::response_parser<http::string_body>;

struct Caller
{
    FlowKind kind = FlowKind::Orders;
    bool isOpen = false;
    bool isWaiting = false;
    std::string order;
    std::string outgoing;
    std::uint64_t requestsLeft = 0;
    Clock::time_point waitingSince; ///< start of opening or of the request, or latest feed bytes
    Clock::time_point nextRequestTime;
    std::unique_ptr<Parser> parser;
    std::string unparsed;
    std::string eventText;
    std::uint64_t nextEvent = 0;
};

/// Callers of one service, all with the same address and each with a flow of its own.
class Callers
{
public:
    Callers(const Model::Endpoint &listen, const Model::Endpoint &fabric, std::uint32_t address,
            const Model::Endpoint &service);
    nlohmann::json run();

private:
    void open(FlowKind kind);
    void receive();
    void processEvents();
    void advance(const Model::FlowKey &key, Caller &caller, Clock::time_point now);
    void sendOrder(const Model::FlowKey &key, Caller &caller, Clock::time_point now);
    void startFeed(const Model::FlowKey &key, Caller &caller, Clock::time_point now);
    void writePending(const Model::FlowKey &key, Caller &caller);
    void onBytes(const Model::FlowKey &key, const std::string &bytes);
    void onFeedBytes(Caller &caller);
    void onResponse(const Model::FlowKey &key, Caller &caller);
    void recordOutcome(const Caller &caller, const char *outcome);
    void onFlowBroken(const Model::FlowKey &key, const char *reason);
    Clock::time_point timeAfterPause(Clock::time_point now);

    int socket_;
    int wakeEvent_;
    Model::Endpoint fabric_;
    Model::Endpoint service_;
    std::mt19937_64 random_;
    std::unordered_map<Model::FlowKey, Caller> callers_;
    std::uint16_t nextPort_ = FirstPort;
    std::uint64_t nextOrder_ = 0;
    bool stopping_ = false;
    std::map<std::string, std::uint64_t> counters_;
    nlohmann::json orders_ = nlohmann::json::object();
    std::vector<double> latenciesMs_;
    Stack::TcpStack stack_;
};

Callers::Callers(const Model::Endpoint &listen, const Model::Endpoint &fabric,
                 std::uint32_t address, const Model::Endpoint &service)
    : socket_(Tunnel::openUdpSocket(listen))
    , wakeEvent_(eventfd(0, EFD_NONBLOCK))
    , fabric_(fabric)
    , service_(service)
    , random_(FLAGS_caller_seed)
    , stack_(
          address, CallerPacketBytes,
          [this](Tunnel::Bytes packet) {
              Tunnel::sendDatagram(socket_, Tunnel::GreHeader, packet, fabric_);
          },
          [this] { eventfd_write(wakeEvent_, 1); })
{}

Clock::time_point Callers::timeAfterPause(Clock::time_point now)
{
    std::uniform_int_distribution<std::uint64_t> spread(0, 2 * FLAGS_caller_order_pause_ms);
    return now + milliseconds(spread(random_));
}

void Callers::open(FlowKind kind)
{
    std::optional<Model::FlowKey> key;
    while (!key)
        key = stack_.connect(nextPort_++, service_);
    Caller &caller = callers_[*key];
    caller.kind = kind;
    caller.waitingSince = Clock::now();
    caller.requestsLeft = std::geometric_distribution<std::uint64_t>(
                              1.0 / double(FLAGS_caller_mean_requests))(random_)
                          + 1;
    ++counters_["flows"];
}

void Callers::receive()
{
    Tunnel::ReceiveBatch batch;
    pollfd waiting[2] = {{socket_, POLLIN, 0}, {wakeEvent_, POLLIN, 0}};
    poll(waiting, 2, 10);
    eventfd_t ignored = 0;
    eventfd_read(wakeEvent_, &ignored);
    while (const std::size_t count = batch.receive(socket_)) {
        for (std::size_t index = 0; index < count; ++index) {
            if (const auto packet = Tunnel::unwrapGre(batch.datagram(index)))
                stack_.input(*packet);
        }
    }
}

void Callers::processEvents()
{
    for (const Stack::Event &event : stack_.takeEvents()) {
        const Model::FlowKey key =
            std::visit([](const auto &content) { return content.flow; }, event);
        const auto entry = callers_.find(key);
        if (entry == callers_.end())
            continue;
        Caller &caller = entry->second;
        if (std::holds_alternative<Stack::Opened>(event)) {
            caller.isOpen = true;
            caller.nextRequestTime = timeAfterPause(Clock::now());
        } else if (const auto *received = std::get_if<Stack::Received>(&event)) {
            stack_.consume(key, received->bytes.size());
            onBytes(key, received->bytes);
        } else if (std::holds_alternative<Stack::Writable>(event)) {
            writePending(key, caller);
        } else if (std::holds_alternative<Stack::RemoteClosed>(event)) {
            onFlowBroken(key, "closed");
        } else if (std::holds_alternative<Stack::Aborted>(event)) {
            onFlowBroken(key, "reset");
        }
    }
}

void Callers::onFlowBroken(const Model::FlowKey &key, const char *reason)
{
    const auto entry = callers_.find(key);
    if (entry == callers_.end())
        return;
    const Caller &caller = entry->second;
    const FlowKind kind = caller.kind;
    ++counters_[caller.isOpen ? "brokenFlows" : "notOpened"];
    if (caller.isWaiting && kind != FlowKind::Feed)
        recordOutcome(caller, "noAnswer");
    fmt::print(stderr, "caller: flow {} {} after {} ms, waiting={} events={}\n",
               Model::flowText(key), reason,
               std::chrono::duration_cast<milliseconds>(Clock::now() - caller.waitingSince).count(),
               caller.isWaiting, caller.nextEvent);
    stack_.abandon(key);
    callers_.erase(entry);
    if (!stopping_)
        open(kind);
}

void Callers::writePending(const Model::FlowKey &key, Caller &caller)
{
    caller.outgoing.erase(0, stack_.write(key, caller.outgoing));
}

void Callers::sendOrder(const Model::FlowKey &key, Caller &caller, Clock::time_point now)
{
    caller.order =
        fmt::format("{}-{}-{}", FLAGS_caller_service_name, FLAGS_caller_address, nextOrder_++);
    const bool isManifest = caller.kind == FlowKind::Manifests;
    nlohmann::json body{{"order", caller.order}};
    if (isManifest)
        body["sheets"] = std::string(FLAGS_caller_manifest_bytes, 'w');
    const std::string text = body.dump();
    caller.outgoing +=
        fmt::format("POST {} HTTP/1.1\r\nHost: service\r\nContent-Length: {}\r\n\r\n{}",
                    isManifest ? "/manifests" : "/orders", text.size(), text);
    caller.isWaiting = true;
    caller.waitingSince = now;
    caller.parser = std::make_unique<Parser>();
    caller.parser->eager(true);
    ++counters_["requests"];
    writePending(key, caller);
}

void Callers::startFeed(const Model::FlowKey &key, Caller &caller, Clock::time_point now)
{
    caller.outgoing += "GET /feed HTTP/1.1\r\nHost: service\r\n\r\n";
    caller.isWaiting = true;
    caller.waitingSince = now;
    caller.parser = std::make_unique<Parser>();
    caller.parser->eager(true);
    caller.parser->body_limit(boost::none);
    ++counters_["feeds"];
    writePending(key, caller);
}

void Callers::advance(const Model::FlowKey &key, Caller &caller, Clock::time_point now)
{
    if (!caller.isOpen) {
        if (now - caller.waitingSince > ResponseTimeout)
            onFlowBroken(key, "not opened");
        return;
    }
    if (caller.isWaiting) {
        const auto limit = caller.kind == FlowKind::Feed ? FeedTimeout : ResponseTimeout;
        if (now - caller.waitingSince > limit)
            onFlowBroken(key, "timed out");
        return;
    }
    if (stopping_ || now < caller.nextRequestTime)
        return;
    if (caller.kind == FlowKind::Feed)
        startFeed(key, caller, now);
    else
        sendOrder(key, caller, now);
}

void Callers::onBytes(const Model::FlowKey &key, const std::string &bytes)
{
    const auto entry = callers_.find(key);
    if (entry == callers_.end())
        return;
    Caller &caller = entry->second;
    if (!caller.parser || !caller.isWaiting) {
        ++counters_["unexpectedBytes"];
        return;
    }
    caller.unparsed += bytes;
    while (!caller.unparsed.empty() && !caller.parser->is_done()) {
        boost::beast::error_code error;
        const std::size_t taken = caller.parser->put(
            boost::asio::buffer(caller.unparsed.data(), caller.unparsed.size()), error);
        caller.unparsed.erase(0, taken);
        if (error == http::error::need_more || (!error && taken == 0))
            break;
        if (error)
            return onFlowBroken(key, "malformed response");
    }
    if (caller.kind == FlowKind::Feed)
        return onFeedBytes(caller);
    if (caller.parser->is_done())
        onResponse(key, caller);
}

void Callers::onFeedBytes(Caller &caller)
{
    caller.waitingSince = Clock::now();
    std::string &body = caller.parser->get().body();
    caller.eventText += body;
    body.clear();
    for (auto end = caller.eventText.find("\n\n"); end != std::string::npos;
         end = caller.eventText.find("\n\n")) {
        const std::string expected =
            fmt::format("id: {}\ndata: {}", caller.nextEvent, caller.nextEvent);
        if (caller.eventText.substr(0, end) != expected) {
            ++counters_["feedGaps"];
            fmt::print(stderr, "caller: expected event {}, got {}\n", caller.nextEvent,
                       caller.eventText.substr(0, end));
        }
        caller.eventText.erase(0, end + 2);
        ++caller.nextEvent;
        ++counters_["events"];
    }
}

void Callers::recordOutcome(const Caller &caller, const char *outcome)
{
    ++counters_[outcome];
    orders_[caller.order] = outcome;
}

void Callers::onResponse(const Model::FlowKey &key, Caller &caller)
{
    const auto &message = caller.parser->get();
    const auto now = Clock::now();
    const std::string outcome(message["Gypsumwing-Outcome"]);
    if (outcome == "not-run") {
        recordOutcome(caller, "notRun");
    } else if (outcome == "unknown") {
        recordOutcome(caller, "unknown");
    } else {
        const auto json = nlohmann::json::parse(message.body(), nullptr, false);
        const bool isExpected =
            json.is_object() && json.value("order", "") == caller.order
            && json.value("service", "") == FLAGS_caller_service_name
            && (caller.kind != FlowKind::Manifests
                || json.value("sheets", "").size() == FLAGS_caller_manifest_bytes);
        if (!isExpected)
            ++counters_["misdelivered"];
        recordOutcome(caller, "answered");
        latenciesMs_.push_back(
            std::chrono::duration<double, std::milli>(now - caller.waitingSince).count());
    }
    caller.isWaiting = false;
    caller.nextRequestTime = timeAfterPause(now);
    const bool closes = !message.keep_alive() || --caller.requestsLeft == 0;
    if (!closes)
        return;
    const FlowKind kind = caller.kind;
    stack_.close(key);
    callers_.erase(key);
    if (!stopping_)
        open(kind);
}

nlohmann::json Callers::run()
{
    for (std::uint64_t index = 0; index < FLAGS_caller_orders; ++index)
        open(FlowKind::Orders);
    for (std::uint64_t index = 0; index < FLAGS_caller_manifests; ++index)
        open(FlowKind::Manifests);
    for (std::uint64_t index = 0; index < FLAGS_caller_feeds; ++index)
        open(FlowKind::Feed);
    const auto end = Clock::now() + std::chrono::seconds(FLAGS_caller_seconds);
    const auto isBusy = [](const auto &entry) {
        return entry.second.kind != FlowKind::Feed && entry.second.isWaiting;
    };
    while (true) {
        receive();
        processEvents();
        const auto now = Clock::now();
        stopping_ = now >= end;
        const bool busy = std::any_of(callers_.begin(), callers_.end(), isBusy);
        if (stopping_ && (!busy || now > end + ShutdownTimeout))
            break;
        std::vector<Model::FlowKey> keys;
        for (const auto &[key, caller] : callers_)
            keys.push_back(key);
        for (const Model::FlowKey &key : keys) {
            if (const auto entry = callers_.find(key); entry != callers_.end())
                advance(key, entry->second, now);
        }
    }
    std::sort(latenciesMs_.begin(), latenciesMs_.end());
    nlohmann::json report = counters_;
    report["service"] = FLAGS_caller_service_name;
    report["orders"] = orders_;
    if (!latenciesMs_.empty()) {
        report["p50Ms"] = latenciesMs_[latenciesMs_.size() / 2];
        report["p99Ms"] = latenciesMs_[latenciesMs_.size() * 99 / 100];
    }
    return report;
}

} // namespace

int runCaller()
{
    const auto listen = Model::parseEndpoint(FLAGS_caller_listen);
    const auto fabric = Model::parseEndpoint(FLAGS_caller_fabric);
    const auto address = Model::parseAddress(FLAGS_caller_address);
    const auto service = Model::parseEndpoint(FLAGS_caller_service);
    if (!listen || !fabric || !address || !service)
        return 2;
    Callers callers(*listen, *fabric, *address, *service);
    fmt::print("{}\n", callers.run().dump());
    std::fflush(stdout);
    std::_Exit(0);
}

} // namespace Standins
