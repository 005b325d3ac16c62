#include "agent/peerrpc.h"
#include "agent/transferreplycache.h"

#include "property.h"

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

using namespace Agent;

static const Model::InstanceId receiver = Model::instanceId("agent-2");

/// Longer than the client's call timeout.
static constexpr std::chrono::milliseconds LostReplyDelay{2200};

namespace {

/// A peer whose first \a lostReplies replies are lost, as they come after the client's timeout.
class Peer
{
public:
    Peer(std::uint64_t incarnation, int lostReplies)
        : lostReplies_(lostReplies)
    {
        PeerServer::Handlers handlers;
        handlers.offer = [](Model::InstanceId instance, Model::Incarnation,
                            std::chrono::milliseconds) { return instance == receiver; };
        handlers.take = [this, incarnation](const FlowTransfer &transfer) {
            return take(Model::Incarnation(incarnation), transfer);
        };
        for (port_ = 23100; !server_; ++port_) {
            try {
                server_ = std::make_unique<PeerServer>(endpoint(), handlers);
                break;
            } catch (const kj::Exception &) {
                // The port is in use.
            }
        }
    }

    Model::Endpoint endpoint() const { return {0x7f000001, port_}; }
    int takenCount() const { return takenCount_; }

private:
    TransferReply take(Model::Incarnation incarnation, const FlowTransfer &transfer)
    {
        TransferReply reply = TransferReply::OtherInstance;
        if (transfer.receiverIncarnation == incarnation) {
            const auto known = replies_.find(transfer.id);
            reply = known.value_or(TransferReply::Taken);
            if (!known) {
                replies_.add({}, transfer.id, reply);
                ++takenCount_;
            }
        }
        if (lostReplies_-- > 0)
            std::this_thread::sleep_for(LostReplyDelay);
        return reply;
    }

    std::atomic<int> lostReplies_;
    std::atomic<int> takenCount_ = 0;
    TransferReplyCache replies_;
    std::uint16_t port_ = 0;
    std::unique_ptr<PeerServer> server_;
};

TransferResult transferTo(const Model::Endpoint &endpoint, Model::InstanceId instance,
                          std::uint64_t incarnation)
{
    FlowTransfer transfer;
    transfer.id = 7;
    transfer.receiver = instance;
    transfer.receiverIncarnation = Model::Incarnation(incarnation);
    transfer.unreadBytes = "POST /orders HTTP/1.1\r\n";
    PeerClient client;
    std::promise<TransferResult> result;
    client.transfer(endpoint, transfer,
                    [&result](TransferResult value) { result.set_value(value); });
    return result.get_future().get();
}

} // namespace

TEST_GROUP(PeerRpc){};

TEST(PeerRpc, TransferIsTakenOnce)
{
    const Peer peer(5, 0);
    CHECK_TRUE(transferTo(peer.endpoint(), receiver, 5) == TransferResult::Taken);
    CHECK_EQUAL(1, peer.takenCount());
}

TEST(PeerRpc, TransferWithLostReplyIsTakenOnce)
{
    const Peer peer(5, 1);
    CHECK_TRUE(transferTo(peer.endpoint(), receiver, 5) == TransferResult::Taken);
    CHECK_EQUAL(1, peer.takenCount());
}

TEST(PeerRpc, RestartOfReceiverAfterLostReplyGivesUnknown)
{
    // The repeat reaches another incarnation, so whether the flow was taken before is unknown.
    const Peer peer(6, 1);
    CHECK_TRUE(transferTo(peer.endpoint(), receiver, 5) == TransferResult::Unknown);
    CHECK_EQUAL(0, peer.takenCount());
}

TEST(PeerRpc, OtherIncarnationAtFirstAttemptGivesRefused)
{
    const Peer peer(6, 0);
    CHECK_TRUE(transferTo(peer.endpoint(), receiver, 5) == TransferResult::Refused);
}

TEST(PeerRpc, RefusedOfferGivesRefused)
{
    const Peer peer(5, 0);
    CHECK_TRUE(transferTo(peer.endpoint(), Model::instanceId("agent-3"), 5)
               == TransferResult::Refused);
    CHECK_EQUAL(0, peer.takenCount());
}

TEST(PeerRpc, UnreachablePeerGivesNotSent)
{
    CHECK_TRUE(transferTo({0x7f000001, 1}, receiver, 5) == TransferResult::NotSent);
}

TEST(PeerRpc, RepliesExpireAfterTheirLifetime)
{
    TransferReplyCache replies;
    const TransferReplyCache::TimePoint now{std::chrono::hours(1)};
    replies.add(now, 7, TransferReply::Refused);
    replies.expire(now + TransferReplyLifetime);
    CHECK_TRUE(replies.find(7) == TransferReply::Refused);
    replies.expire(now + TransferReplyLifetime + std::chrono::seconds(1));
    CHECK_FALSE(replies.find(7).has_value());
}
