#include "agent/peerrpc.h"

#include <capnp/ez-rpc.h>
#include <kj/async-io.h>

#include <algorithm>
#include <utility>

namespace Agent {

static constexpr int MaxAttempts = 20;
static constexpr std::chrono::milliseconds AttemptPause{250};
static constexpr std::chrono::seconds UnreachablePause{3};
static constexpr int CallLimitMs = 1500;
static constexpr std::uint64_t MaxTransferWords = 4 * 1024 * 1024 / sizeof(capnp::word);

const char *transferResultText(TransferResult result)
{
    switch (result) {
    case TransferResult::Taken:
        return "taken";
    case TransferResult::NotSent:
        return "not-sent";
    case TransferResult::Refused:
        return "refused";
    case TransferResult::Unknown:
        return "unknown";
    }
    return "unknown";
}

static_assert(unsigned(TransferReply::OtherInstance)
              == unsigned(Rpc::TransferOutcome::OTHER_INSTANCE));

namespace {

class PeerImplementation final : public Rpc::Peer::Server
{
public:
    explicit PeerImplementation(const PeerServer::Handlers &handlers)
        : handlers_(handlers)
    {}

    kj::Promise<void> offerFlow(OfferFlowContext context) override
    {
        const auto parameters = context.getParams();
        const bool accepted =
            handlers_.offer(Model::InstanceId(parameters.getReceiver()),
                            Model::Incarnation(parameters.getReceiverIncarnation()),
                            std::chrono::milliseconds(parameters.getWaitLimitMs()));
        context.getResults().setAccepted(accepted);
        return kj::READY_NOW;
    }

    kj::Promise<void> takeFlow(TakeFlowContext context) override
    {
        const auto reply = handlers_.take(readTransfer(context.getParams().getTransfer()));
        context.getResults().setOutcome(Rpc::TransferOutcome(reply));
        return kj::READY_NOW;
    }

private:
    const PeerServer::Handlers &handlers_;
};

} // namespace

class PeerServer::Stopper
{
public:
    kj::Own<kj::CrossThreadPromiseFulfiller<void>> fulfiller;
};

PeerServer::PeerServer(const Model::Endpoint &endpoint, Handlers handlers)
    : handlers_(std::move(handlers))
    , stopper_(std::make_unique<Stopper>())
{
    std::promise<void> started;
    thread_ = std::thread([this, endpoint, &started] { run(endpoint, started); });
    try {
        started.get_future().get();
    } catch (...) {
        thread_.join();
        throw;
    }
}

PeerServer::~PeerServer()
{
    stopper_->fulfiller->fulfill();
    thread_.join();
}

void PeerServer::run(const Model::Endpoint &endpoint, std::promise<void> &started)
{
    bool isStarted = false;
    try {
        capnp::EzRpcServer server(kj::heap<PeerImplementation>(handlers_),
                                  Model::addressText(endpoint.address), endpoint.port);
        server.getPort().wait(server.getWaitScope());
        auto stop = kj::newPromiseAndCrossThreadFulfiller<void>();
        stopper_->fulfiller = kj::mv(stop.fulfiller);
        isStarted = true;
        started.set_value();
        stop.promise.wait(server.getWaitScope());
    } catch (const kj::Exception &) {
        if (!isStarted)
            started.set_exception(std::current_exception());
    }
}

PeerClient::PeerClient()
    : thread_([this] { run(); })
{}

PeerClient::~PeerClient()
{
    {
        const std::lock_guard guard(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    thread_.join();
}

void PeerClient::transfer(const Model::Endpoint &endpoint, FlowTransfer transfer, Done done)
{
    {
        const std::lock_guard guard(mutex_);
        jobs_.push_back({endpoint, std::move(transfer), std::move(done), 0, false, {}});
    }
    wake_.notify_all();
}

void PeerClient::run()
{
    std::unique_lock lock(mutex_);
    while (!stopping_) {
        const auto earliest =
            std::min_element(jobs_.begin(), jobs_.end(), [](const Job &left, const Job &right) {
                return left.notBefore < right.notBefore;
            });
        if (earliest == jobs_.end()) {
            wake_.wait(lock);
            continue;
        }
        if (earliest->notBefore > std::chrono::steady_clock::now()) {
            wake_.wait_until(lock, earliest->notBefore);
            continue;
        }
        Job job = std::move(*earliest);
        jobs_.erase(earliest);
        lock.unlock();
        const auto result = attempt(job);
        if (result)
            job.done(*result);
        lock.lock();
        if (!result) {
            job.notBefore = std::chrono::steady_clock::now() + AttemptPause;
            jobs_.push_back(std::move(job));
        }
    }
}

/// Makes one attempt; nothing if another attempt is needed to know the outcome.
std::optional<TransferResult> PeerClient::attempt(Job &job)
{
    // A frozen peer must not hold up the transfers to the others.
    const auto now = std::chrono::steady_clock::now();
    const auto unreachable = unreachableUntil_.find(job.endpoint);
    const bool isSkipped = unreachable != unreachableUntil_.end() && now < unreachable->second;
    if (isSkipped && !job.mayHaveArrived)
        return TransferResult::NotSent;
    const auto result = call(job);
    if (!result || *result == TransferResult::NotSent)
        unreachableUntil_[job.endpoint] = std::chrono::steady_clock::now() + UnreachablePause;
    else
        unreachableUntil_.erase(job.endpoint);
    return result;
}

std::optional<TransferResult> PeerClient::call(Job &job) const
{
    ++job.attempts;
    try {
        capnp::ReaderOptions options;
        options.traversalLimitInWords = MaxTransferWords;
        capnp::EzRpcClient client(Model::addressText(job.endpoint.address), job.endpoint.port,
                                  options);
        auto &timer = client.getIoProvider().getTimer();
        auto peer = client.getMain<Rpc::Peer>();
        auto offer = peer.offerFlowRequest();
        offer.setReceiver(std::uint64_t(job.transfer.receiver));
        offer.setReceiverIncarnation(std::uint64_t(job.transfer.receiverIncarnation));
        offer.setWaitLimitMs(std::uint32_t(job.transfer.waitLimit.count()));
        const auto offered = timer.timeoutAfter(CallLimitMs * kj::MILLISECONDS, offer.send())
                                 .wait(client.getWaitScope());
        if (!offered.getAccepted() && !job.mayHaveArrived)
            return TransferResult::Refused;

        auto take = peer.takeFlowRequest();
        writeTransfer(take.initTransfer(), job.transfer);
        const bool isRepeat = std::exchange(job.mayHaveArrived, true);
        const auto taken = timer.timeoutAfter(CallLimitMs * kj::MILLISECONDS, take.send())
                               .wait(client.getWaitScope());
        if (taken.getOutcome() == Rpc::TransferOutcome::TAKEN)
            return TransferResult::Taken;
        // An earlier incarnation may have taken the flow, and run its next request.
        if (isRepeat && taken.getOutcome() == Rpc::TransferOutcome::OTHER_INSTANCE)
            return TransferResult::Unknown;
        return TransferResult::Refused;
    } catch (const kj::Exception &) {
        if (!job.mayHaveArrived)
            return TransferResult::NotSent;
        if (job.attempts >= MaxAttempts)
            return TransferResult::Unknown;
        return std::nullopt;
    }
}

} // namespace Agent
