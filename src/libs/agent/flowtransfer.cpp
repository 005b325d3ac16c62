#include "agent/flowtransfer.h"

#include <algorithm>

namespace Agent {

static void writeTcp(Rpc::TcpState::Builder builder, const Stack::TcpState &state)
{
    builder.setCallerAddress(state.flow.caller.address);
    builder.setCallerPort(state.flow.caller.port);
    builder.setServiceAddress(state.flow.service.address);
    builder.setServicePort(state.flow.service.port);
    builder.setReceiveNext(state.receiveNext);
    builder.setSendNext(state.sendNext);
    builder.setLastAcknowledged(state.lastAcknowledged);
    builder.setWindowUpdateSequence(state.windowUpdateSequence);
    builder.setWindowUpdateAcknowledgement(state.windowUpdateAcknowledgement);
    builder.setReceiveWindow(state.receiveWindow);
    builder.setSendWindow(state.sendWindow);
    builder.setSendWindowMaximum(state.sendWindowMaximum);
    builder.setCongestionWindow(state.congestionWindow);
    builder.setSlowStartThreshold(state.slowStartThreshold);
    builder.setAnnouncedRightEdge(state.announcedRightEdge);
    builder.setAnnouncedWindow(state.announcedWindow);
    builder.setMaximumSegment(state.maximumSegment);
    builder.setFlags(state.flags);
    builder.setSendScale(state.sendScale);
    builder.setReceiveScale(state.receiveScale);
}

static Stack::TcpState readTcp(Rpc::TcpState::Reader reader)
{
    Stack::TcpState state;
    state.flow.caller = {reader.getCallerAddress(), reader.getCallerPort()};
    state.flow.service = {reader.getServiceAddress(), reader.getServicePort()};
    state.receiveNext = reader.getReceiveNext();
    state.sendNext = reader.getSendNext();
    state.lastAcknowledged = reader.getLastAcknowledged();
    state.windowUpdateSequence = reader.getWindowUpdateSequence();
    state.windowUpdateAcknowledgement = reader.getWindowUpdateAcknowledgement();
    state.receiveWindow = reader.getReceiveWindow();
    state.sendWindow = reader.getSendWindow();
    state.sendWindowMaximum = reader.getSendWindowMaximum();
    state.congestionWindow = reader.getCongestionWindow();
    state.slowStartThreshold = reader.getSlowStartThreshold();
    state.announcedRightEdge = reader.getAnnouncedRightEdge();
    state.announcedWindow = reader.getAnnouncedWindow();
    state.maximumSegment = reader.getMaximumSegment();
    state.flags = reader.getFlags();
    state.sendScale = reader.getSendScale();
    state.receiveScale = reader.getReceiveScale();
    return state;
}

static void writeFeed(Rpc::Feed::Builder builder, const FeedState &feed)
{
    builder.setTarget(feed.target);
    builder.setLastEventId(feed.lastEventId);
    auto headers = builder.initHeaders(unsigned(feed.headers.size()));
    for (unsigned index = 0; index < headers.size(); ++index) {
        headers[index].setName(feed.headers[index].first);
        headers[index].setValue(feed.headers[index].second);
    }
}

static FeedState readFeed(Rpc::Feed::Reader reader)
{
    FeedState feed{reader.getTarget(), reader.getLastEventId(), {}};
    for (const auto header : reader.getHeaders())
        feed.headers.emplace_back(header.getName(), header.getValue());
    return feed;
}

void writeTransfer(Rpc::FlowTransfer::Builder builder, const FlowTransfer &transfer)
{
    builder.setId(transfer.id);
    builder.setService(std::uint64_t(transfer.service));
    builder.setReceiver(std::uint64_t(transfer.receiver));
    builder.setReceiverIncarnation(std::uint64_t(transfer.receiverIncarnation));
    builder.setWaitLimitMs(std::uint32_t(transfer.waitLimit.count()));
    builder.setDeadlineMs(std::uint32_t(std::max<std::int64_t>(0, transfer.deadline.count())));
    builder.setEpoch(std::uint32_t(transfer.epoch));
    writeTcp(builder.initTcp(), transfer.tcp);
    builder.setUnreadBytes(
        kj::arrayPtr(reinterpret_cast<const kj::byte *>(transfer.unreadBytes.data()),
                     transfer.unreadBytes.size()));
    if (transfer.feed)
        writeFeed(builder.initFeed(), *transfer.feed);
}

FlowTransfer readTransfer(Rpc::FlowTransfer::Reader reader)
{
    FlowTransfer transfer;
    transfer.id = reader.getId();
    transfer.service = Model::ServiceId(reader.getService());
    transfer.receiver = Model::InstanceId(reader.getReceiver());
    transfer.receiverIncarnation = Model::Incarnation(reader.getReceiverIncarnation());
    transfer.waitLimit = std::chrono::milliseconds(reader.getWaitLimitMs());
    transfer.deadline = std::chrono::milliseconds(reader.getDeadlineMs());
    transfer.epoch = Tunnel::Epoch(reader.getEpoch());
    transfer.tcp = readTcp(reader.getTcp());
    const auto unread = reader.getUnreadBytes();
    transfer.unreadBytes.assign(reinterpret_cast<const char *>(unread.begin()), unread.size());
    if (reader.getFeed().getTarget().size() > 0)
        transfer.feed = readFeed(reader.getFeed());
    return transfer;
}

} // namespace Agent
