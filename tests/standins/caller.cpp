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

DEFINE_string(caller_listen, "127.0.0.1:7300", "where answers from the fabric arrive");
DEFINE_string(caller_fabric, "127.0.0.1:7100", "where packets go");
DEFINE_string(caller_address, "10.99.0.1", "address of the callers");
DEFINE_string(caller_service, "10.40.0.1:80", "address of the service");
DEFINE_string(caller_service_name, "order-desk", "name that answers must carry");
DEFINE_uint64(caller_orders, 10, "flows that place orders");
DEFINE_uint64(caller_manifests, 1, "flows that file manifests");
DEFINE_uint64(caller_feeds, 10, "flows that watch the feed");
DEFINE_uint64(caller_order_pause_ms, 200, "mean pause between the orders of a flow");
DEFINE_uint64(caller_manifest_bytes, 1000000, "size of a manifest, and of its answer");
DEFINE_uint64(caller_seconds, 10, "time in which requests are made");
DEFINE_uint64(caller_seed, 1, "seed of the pauses");
DEFINE_uint64(caller_mean_requests, 20, "mean number of requests on a flow before it is renewed");

namespace Standins {

namespace http = boost::beast::http;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

static constexpr std::uint16_t CallerPacketBytes = 1500;
static constexpr std::uint16_t FirstPort = 10000;
static constexpr milliseconds AnswerLimit{20000};
static constexpr milliseconds FeedSilenceLimit{10000};
static constexpr milliseconds FinishLimit{25000};

namespace {

enum class Kind { Orders, Manifests, Feed };

using Parser = http::response_parser<http::string_body>;

struct Caller
{
    Kind kind = Kind::Orders;
    bool isOpen = false;
    bool isWaiting = false;
    std::string order;
    std::string outgoing;
    std::uint64_t requestsLeft = 0;
    Clock::time_point since;
    Clock::time_point next;
    std::unique_ptr<Parser> parser;
    std::string unparsed;
    std::string eventText;
    std::uint64_t nextEvent = 0;
};

/// Callers of one service on one address.
class Callers
{
public:
    Callers(const Model::Endpoint &listen, const Model::Endpoint &fabric, std::uint32_t address,
            const Model::Endpoint &service);
    nlohmann::json run();

private:
    void open(Kind kind);
    void receive();
    void drainEvents();
    void act(const Model::FlowKey &key, Caller &caller, Clock::time_point now);
    void sendOrder(const Model::FlowKey &key, Caller &caller, Clock::time_point now);
    void startFeed(const Model::FlowKey &key, Caller &caller, Clock::time_point now);
    void pump(const Model::FlowKey &key, Caller &caller);
    void onBytes(const Model::FlowKey &key, const std::string &bytes);
    void onFeedBytes(Caller &caller);
    void onAnswer(const Model::FlowKey &key, Caller &caller);
    void noteOrder(const Caller &caller, const char *outcome);
    void broken(const Model::FlowKey &key, const char *why);
    Clock::time_point pause(Clock::time_point now);

    int socket_;
    int wake_;
    Model::Endpoint fabric_;
    Model::Endpoint service_;
    std::mt19937_64 random_;
    std::unordered_map<Model::FlowKey, Caller> callers_;
    std::uint16_t nextPort_ = FirstPort;
    std::uint64_t nextOrder_ = 0;
    bool stopping_ = false;
    std::map<std::string, std::uint64_t> counts_;
    nlohmann::json orders_ = nlohmann::json::object();
    std::vector<double> latenciesMs_;
    Stack::TcpStack stack_;
};

Callers::Callers(const Model::Endpoint &listen, const Model::Endpoint &fabric,
                 std::uint32_t address, const Model::Endpoint &service)
    : socket_(Tunnel::openUdpSocket(listen))
    , wake_(eventfd(0, EFD_NONBLOCK))
    , fabric_(fabric)
    , service_(service)
    , random_(FLAGS_caller_seed)
    , stack_(
          address, CallerPacketBytes,
          [this](Tunnel::Bytes packet) {
              Tunnel::sendDatagram(socket_, Tunnel::GreHeader, packet, fabric_);
          },
          [this] { eventfd_write(wake_, 1); })
{}

Clock::time_point Callers::pause(Clock::time_point now)
{
    std::uniform_int_distribution<std::uint64_t> spread(0, 2 * FLAGS_caller_order_pause_ms);
    return now + milliseconds(spread(random_));
}

void Callers::open(Kind kind)
{
    std::optional<Model::FlowKey> key;
    while (!key)
        key = stack_.connect(nextPort_++, service_);
    Caller &caller = callers_[*key];
    caller.kind = kind;
    caller.since = Clock::now();
    caller.requestsLeft = std::geometric_distribution<std::uint64_t>(
                              1.0 / double(FLAGS_caller_mean_requests))(random_)
                          + 1;
    ++counts_["flows"];
}

void Callers::receive()
{
    Tunnel::ReceiveBatch batch;
    pollfd waiting[2] = {{socket_, POLLIN, 0}, {wake_, POLLIN, 0}};
    poll(waiting, 2, 10);
    eventfd_t ignored = 0;
    eventfd_read(wake_, &ignored);
    while (const std::size_t count = batch.receive(socket_)) {
        for (std::size_t index = 0; index < count; ++index) {
            if (const auto packet = Tunnel::unwrapGre(batch.datagram(index)))
                stack_.input(*packet);
        }
    }
}

void Callers::drainEvents()
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
            caller.next = pause(Clock::now());
        } else if (const auto *received = std::get_if<Stack::Received>(&event)) {
            stack_.consume(key, received->bytes.size());
            onBytes(key, received->bytes);
        } else if (std::holds_alternative<Stack::Writable>(event)) {
            pump(key, caller);
        } else if (std::holds_alternative<Stack::RemoteClosed>(event)) {
            broken(key, "closed");
        } else if (std::holds_alternative<Stack::Aborted>(event)) {
            broken(key, "reset");
        }
    }
}

void Callers::broken(const Model::FlowKey &key, const char *why)
{
    const auto entry = callers_.find(key);
    if (entry == callers_.end())
        return;
    const Caller &caller = entry->second;
    const Kind kind = caller.kind;
    ++counts_[caller.isOpen ? "brokenFlows" : "notOpened"];
    if (caller.isWaiting && kind != Kind::Feed)
        noteOrder(caller, "noAnswer");
    fmt::print(stderr, "caller: flow {} {} after {} ms, waiting={} events={}\n",
               Model::flowText(key), why,
               std::chrono::duration_cast<milliseconds>(Clock::now() - caller.since).count(),
               caller.isWaiting, caller.nextEvent);
    stack_.abandon(key);
    callers_.erase(entry);
    if (!stopping_)
        open(kind);
}

void Callers::pump(const Model::FlowKey &key, Caller &caller)
{
    caller.outgoing.erase(0, stack_.write(key, caller.outgoing));
}

void Callers::sendOrder(const Model::FlowKey &key, Caller &caller, Clock::time_point now)
{
    caller.order =
        fmt::format("{}-{}-{}", FLAGS_caller_service_name, FLAGS_caller_address, nextOrder_++);
    const bool isManifest = caller.kind == Kind::Manifests;
    nlohmann::json body{{"order", caller.order}};
    if (isManifest)
        body["sheets"] = std::string(FLAGS_caller_manifest_bytes, 'w');
    const std::string text = body.dump();
    caller.outgoing +=
        fmt::format("POST {} HTTP/1.1\r\nHost: service\r\nContent-Length: {}\r\n\r\n{}",
                    isManifest ? "/manifests" : "/orders", text.size(), text);
    caller.isWaiting = true;
    caller.since = now;
    caller.parser = std::make_unique<Parser>();
    caller.parser->eager(true);
    ++counts_["requests"];
    pump(key, caller);
}

void Callers::startFeed(const Model::FlowKey &key, Caller &caller, Clock::time_point now)
{
    caller.outgoing += "GET /feed HTTP/1.1\r\nHost: service\r\n\r\n";
    caller.isWaiting = true;
    caller.since = now;
    caller.parser = std::make_unique<Parser>();
    caller.parser->eager(true);
    caller.parser->body_limit(boost::none);
    ++counts_["feeds"];
    pump(key, caller);
}

void Callers::act(const Model::FlowKey &key, Caller &caller, Clock::time_point now)
{
    if (!caller.isOpen) {
        if (now - caller.since > AnswerLimit)
            broken(key, "not opened");
        return;
    }
    if (caller.isWaiting) {
        const auto limit = caller.kind == Kind::Feed ? FeedSilenceLimit : AnswerLimit;
        if (now - caller.since > limit)
            broken(key, "silent");
        return;
    }
    if (stopping_ || now < caller.next)
        return;
    if (caller.kind == Kind::Feed)
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
        ++counts_["unexpectedBytes"];
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
            return broken(key, "malformed answer");
    }
    if (caller.kind == Kind::Feed)
        return onFeedBytes(caller);
    if (caller.parser->is_done())
        onAnswer(key, caller);
}

void Callers::onFeedBytes(Caller &caller)
{
    caller.since = Clock::now();
    std::string &body = caller.parser->get().body();
    caller.eventText += body;
    body.clear();
    for (auto end = caller.eventText.find("\n\n"); end != std::string::npos;
         end = caller.eventText.find("\n\n")) {
        const std::string expected =
            fmt::format("id: {}\ndata: {}", caller.nextEvent, caller.nextEvent);
        if (caller.eventText.substr(0, end) != expected) {
            ++counts_["feedGaps"];
            fmt::print(stderr, "caller: expected {} got {}\n", caller.nextEvent,
                       caller.eventText.substr(0, end));
        }
        caller.eventText.erase(0, end + 2);
        ++caller.nextEvent;
        ++counts_["events"];
    }
}

void Callers::noteOrder(const Caller &caller, const char *outcome)
{
    ++counts_[outcome];
    orders_[caller.order] = outcome;
}

void Callers::onAnswer(const Model::FlowKey &key, Caller &caller)
{
    const auto &message = caller.parser->get();
    const auto now = Clock::now();
    const std::string outcome(message["Gypsumwing-Outcome"]);
    if (outcome == "not-run") {
        noteOrder(caller, "notRun");
    } else if (outcome == "unknown") {
        noteOrder(caller, "unknown");
    } else {
        const auto json = nlohmann::json::parse(message.body(), nullptr, false);
        const bool isOwn = json.is_object() && json.value("order", "") == caller.order
                           && json.value("service", "") == FLAGS_caller_service_name
                           && (caller.kind != Kind::Manifests
                               || json.value("sheets", "").size() == FLAGS_caller_manifest_bytes);
        if (!isOwn)
            ++counts_["misdelivered"];
        noteOrder(caller, "answered");
        latenciesMs_.push_back(
            std::chrono::duration<double, std::milli>(now - caller.since).count());
    }
    caller.isWaiting = false;
    caller.next = pause(now);
    const bool closes = !message.keep_alive() || --caller.requestsLeft == 0;
    if (!closes)
        return;
    const Kind kind = caller.kind;
    stack_.close(key);
    callers_.erase(key);
    if (!stopping_)
        open(kind);
}

nlohmann::json Callers::run()
{
    for (std::uint64_t index = 0; index < FLAGS_caller_orders; ++index)
        open(Kind::Orders);
    for (std::uint64_t index = 0; index < FLAGS_caller_manifests; ++index)
        open(Kind::Manifests);
    for (std::uint64_t index = 0; index < FLAGS_caller_feeds; ++index)
        open(Kind::Feed);
    const auto end = Clock::now() + std::chrono::seconds(FLAGS_caller_seconds);
    const auto isBusy = [](const auto &entry) {
        return entry.second.kind != Kind::Feed && entry.second.isWaiting;
    };
    while (true) {
        receive();
        drainEvents();
        const auto now = Clock::now();
        stopping_ = now >= end;
        const bool busy = std::any_of(callers_.begin(), callers_.end(), isBusy);
        if (stopping_ && (!busy || now > end + FinishLimit))
            break;
        std::vector<Model::FlowKey> keys;
        for (const auto &[key, caller] : callers_)
            keys.push_back(key);
        for (const Model::FlowKey &key : keys) {
            if (const auto entry = callers_.find(key); entry != callers_.end())
                act(key, entry->second, now);
        }
    }
    std::sort(latenciesMs_.begin(), latenciesMs_.end());
    nlohmann::json report = counts_;
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
