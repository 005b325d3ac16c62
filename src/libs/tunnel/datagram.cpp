#include "tunnel/datagram.h"

#include "rpc/datagram.capnp.h"

#include <capnp/serialize-packed.h>
#include <capnp/serialize.h>

#include <kj/io.h>

#include <algorithm>
#include <cmath>

namespace Tunnel {

static constexpr std::size_t ScratchWords = 192;
static constexpr double PerMille = 1000;
static constexpr std::size_t MaxDatagramWords = 65536 / sizeof(capnp::word);

/// First byte of a packed message. An unpacked one begins with the number of its segments less one
/// in little-endian order, and none has 256 segments.
static constexpr std::byte PackedMarker{0xff};

/// Whether \a content is encoded without its zero bytes: every process sends these messages to
/// every balancer, and most of their fields are small. A caller's packet is sent with a header that
/// is not packed, since that costs processor time for each packet.
static bool isPacked(const decltype(Datagram::content) &content)
{
    return std::holds_alternative<Report>(content) || std::holds_alternative<RosterPart>(content)
           || std::holds_alternative<EvacuationNotice>(content);
}

const char *rosterScopeText(RosterScope scope)
{
    switch (scope) {
    case RosterScope::Reported:
        return "reported";
    case RosterScope::Recorded:
        return "recorded";
    case RosterScope::Complete:
        return "complete";
    }
    return "unknown";
}

static void writeHop(Rpc::Hop::Builder builder, const Routing::Hop &hop)
{
    builder.setInstance(std::uint64_t(hop.instance));
    builder.setIncarnation(std::uint64_t(hop.incarnation));
    builder.setAddress(hop.tunnel.address);
    builder.setPort(hop.tunnel.port);
}

static Routing::Hop readHop(Rpc::Hop::Reader reader)
{
    return {Model::InstanceId(reader.getInstance()),
            Model::Incarnation(reader.getIncarnation()),
            {reader.getAddress(), reader.getPort()}};
}

static void writeTerms(Rpc::FlowTerms::Builder builder, const FlowTerms &terms)
{
    builder.setWarmUpRate(terms.warmUpRate);
    builder.setPriority(terms.priority);
    builder.setObjectiveMs(std::uint32_t(terms.objective.count()));
}

static FlowTerms readTerms(Rpc::FlowTerms::Reader reader)
{
    const float rate = reader.getWarmUpRate();
    return {rate > 0 ? rate : 0, reader.getPriority(),
            std::chrono::milliseconds(reader.getObjectiveMs())};
}

static void write(Rpc::Datagram::Builder root, const PacketHeader &header)
{
    auto packet = root.initPacket();
    auto chain = packet.initChain(unsigned(header.chain.size()));
    for (unsigned index = 0; index < chain.size(); ++index)
        writeHop(chain[index], header.chain[index]);
    packet.setPosition(header.position);
    packet.setPasses(header.passes);
    packet.setRedirects(header.redirects);
    packet.setOpensFlow(header.opensFlow);
    packet.setSearchedScore(header.searched.score);
    packet.setSearchesSuspects(header.searched.isAmongSuspects);
    packet.setOriginAddress(header.origin.address);
    packet.setOriginPort(header.origin.port);
    packet.setOriginSearches(header.originSearches);
    packet.setOriginContinues(header.originContinues);
    packet.setGaps(header.findings.bits());
    packet.setAsksServers(header.asksServers);
    // Processes of earlier versions know these two only.
    packet.setIsUncertain(header.findings.bits() != 0);
    packet.setRestartAnnounced(header.findings.has(Routing::SearchGap::AgentAway));
    packet.setServicesAsked(header.servicesAsked);
    packet.setToClaimant(header.isToClaimant);
    if (header.terms != FlowTerms())
        writeTerms(packet.initTerms(), header.terms);
}

static void writeFlow(Rpc::FlowEntry::Builder builder, const Model::FlowKey &key)
{
    builder.setCallerAddress(key.caller.address);
    builder.setCallerPort(key.caller.port);
    builder.setServiceAddress(key.service.address);
    builder.setServicePort(key.service.port);
}

static Model::FlowKey readFlow(Rpc::FlowEntry::Reader reader)
{
    return {{reader.getCallerAddress(), reader.getCallerPort()},
            {reader.getServiceAddress(), reader.getServicePort()}};
}

static void writeFlows(capnp::List<Rpc::FlowEntry>::Builder builder,
                       const std::vector<Model::FlowKey> &flows)
{
    for (unsigned index = 0; index < builder.size(); ++index)
        writeFlow(builder[index], flows[index]);
}

static std::vector<Model::FlowKey> readFlows(capnp::List<Rpc::FlowEntry>::Reader reader)
{
    std::vector<Model::FlowKey> flows;
    flows.reserve(reader.size());
    for (const auto flow : reader)
        flows.push_back(readFlow(flow));
    return flows;
}

static void write(Rpc::Datagram::Builder root, const Redirects &redirects)
{
    auto group = root.initRedirects();
    writeHop(group.initOwner(), redirects.owner);
    auto flows = group.initFlows(unsigned(redirects.flows.size()));
    for (unsigned index = 0; index < flows.size(); ++index) {
        const auto &[key, epoch] = redirects.flows[index];
        flows[index].setEpoch(std::uint32_t(epoch));
        writeFlow(flows[index], key);
    }
}

static void write(Rpc::Datagram::Builder root, const Probe &probe)
{
    auto group = root.initProbe();
    group.setSequence(probe.sequence);
    writeHop(group.initSender(), probe.sender);
    writeHop(group.initTarget(), probe.target);
}

static void write(Rpc::Datagram::Builder root, const ProbeAnswer &answer)
{
    auto group = root.initProbeAnswer();
    group.setSequence(answer.sequence);
    writeHop(group.initTarget(), answer.target);
    group.setAskerIncarnation(std::uint64_t(answer.askerIncarnation));
}

static void writeMember(Rpc::Member::Builder builder, const Member &member)
{
    const Model::Instance &instance = member.instance;
    builder.setName(instance.name);
    builder.setService(instance.service);
    builder.setFailureDomain(instance.failureDomain);
    builder.setAddress(instance.tunnel.address);
    builder.setTunnelPort(instance.tunnel.port);
    builder.setPeerPort(instance.peer.port);
    builder.setIncarnation(std::uint64_t(instance.incarnation));
    builder.setRole(member.role == Role::Balancer ? Rpc::Role::BALANCER : Rpc::Role::AGENT);
    builder.setState(Rpc::State(std::uint16_t(instance.state)));
    builder.setSilentMs(std::uint32_t(member.sinceLastReport.count()));
    builder.setUnheard(member.isUnheard);
    builder.setHasNoServer(member.hasNoServer);
    builder.setServerListens(member.serverListens);
    builder.setRestarting(member.isRestarting);
    builder.setGone(member.isGone);
}

static std::optional<Member> readMember(Rpc::Member::Reader reader)
{
    if (reader.getState() > Rpc::State::SUSPECT || reader.getRole() > Rpc::Role::BALANCER)
        return std::nullopt;
    Member member;
    member.instance.name = reader.getName();
    member.instance.service = reader.getService();
    member.instance.failureDomain = reader.getFailureDomain();
    member.instance.tunnel = {reader.getAddress(), reader.getTunnelPort()};
    member.instance.peer = {reader.getAddress(), reader.getPeerPort()};
    member.instance.incarnation = Model::Incarnation(reader.getIncarnation());
    member.instance.state = Model::InstanceState(std::uint16_t(reader.getState()));
    member.role = reader.getRole() == Rpc::Role::BALANCER ? Role::Balancer : Role::Agent;
    member.sinceLastReport = std::chrono::milliseconds(reader.getSilentMs());
    member.isUnheard = reader.getUnheard();
    member.hasNoServer = reader.getHasNoServer();
    member.serverListens = reader.getServerListens();
    member.isRestarting = reader.getRestarting();
    member.isGone = reader.getGone();
    if (member.instance.name.empty() || !member.instance.tunnel.isValid())
        return std::nullopt;
    return member;
}

static void writeEvacuations(Rpc::Evacuations::Builder builder,
                             const Model::Evacuations &evacuations)
{
    builder.setTimeline(std::uint64_t(evacuations.asOf.timeline()));
    builder.setRevision(evacuations.asOf.number());
    auto domains = builder.initDomains(unsigned(evacuations.domains.size()));
    unsigned index = 0;
    for (const std::string &domain : evacuations.domains)
        domains.set(index++, domain);
}

static Model::Evacuations readEvacuations(Rpc::Evacuations::Reader reader)
{
    Model::Evacuations evacuations;
    evacuations.asOf = Store::Revision(reader.getRevision(), Store::Timeline(reader.getTimeline()));
    for (const auto domain : reader.getDomains())
        evacuations.domains.insert(domain);
    return evacuations;
}

static void write(Rpc::Datagram::Builder root, const Report &report)
{
    auto group = root.initReport();
    writeMember(group.initSender(), report.sender);
    group.setReportNumber(report.number);
    group.setWaitingFlows(report.waiting);
    group.setOpenFlows(report.open);
    group.setSlots(report.slots);
    group.setAnswerMicros(std::uint32_t(report.answerTime.count()));
    group.setFailedPerMille(std::uint16_t(std::lround(report.failureShare * PerMille)));
    group.setUnknownFlows(report.mayHoldUnknownFlows);
    group.setOlderServer(report.hasOlderServer);
    group.setKnownMembers(report.rosterDigest);
    group.setWantsRoster(report.wantsRoster);
    group.setLeaves(report.isLeaving);
    const bool hasPrevious = report.previousGeneration != Model::Generation{};
    if (!report.evacuations.isKnown() && !report.isWarmingUp && !hasPrevious)
        return;
    auto details = group.initDetails();
    if (report.evacuations.isKnown())
        writeEvacuations(details.initEvacuations(), report.evacuations);
    details.setStartDelayMs(std::uint32_t(report.startDelay.count()));
    details.setWarmsUp(report.isWarmingUp);
    details.setPreviousGeneration(std::uint64_t(report.previousGeneration));
}

static void write(Rpc::Datagram::Builder root, const EvacuationNotice &notice)
{
    writeEvacuations(root.initEvacuationNotice(), notice.evacuations);
}

static void write(Rpc::Datagram::Builder root, const RosterPart &part)
{
    auto group = root.initRoster();
    group.setRosterOf(part.balancer);
    group.setAfterName(part.afterName);
    group.setEndsRoster(part.isLast);
    group.setScope(Rpc::RosterScope(std::uint16_t(part.scope)));
    auto members = group.initMembers(unsigned(part.members.size()));
    for (unsigned index = 0; index < members.size(); ++index)
        writeMember(members[index], part.members[index]);
}

static void write(Rpc::Datagram::Builder root, const OwnerQuery &query)
{
    auto group = root.initOwnerQuery();
    group.setAskerAddress(query.asker.address);
    group.setAskerPort(query.asker.port);
    writeFlows(group.initAskedFlows(unsigned(query.flows.size())), query.flows);
}

static void write(Rpc::Datagram::Builder root, const FlowHandover &handover)
{
    auto builder = root.initHandover();
    builder.setAgent(std::uint64_t(handover.agent));
    builder.setIncarnation(std::uint64_t(handover.incarnation));
    builder.setSender(std::uint64_t(handover.sender));
    builder.setServerStartMs(handover.serverStartTimeMs);
    builder.setKnowsAllFlows(handover.knowsAllFlows);
    builder.setSuccessor(std::uint64_t(handover.successor));
    builder.setPart(handover.part);
    builder.setPartCount(handover.partCount);
    writeFlows(builder.initFlows(unsigned(handover.flows.size())), handover.flows);
}

static std::optional<FlowHandover> readHandover(Rpc::FlowHandover::Reader reader)
{
    const bool isNone = reader.getPartCount() == 0;
    if (reader.getPartCount() > MaxHandoverParts
        || (!isNone && reader.getPart() >= reader.getPartCount()))
        return std::nullopt;
    FlowHandover handover;
    handover.agent = Model::InstanceId(reader.getAgent());
    handover.incarnation = Model::Incarnation(reader.getIncarnation());
    handover.sender = Model::InstanceId(reader.getSender());
    handover.serverStartTimeMs = reader.getServerStartMs();
    handover.knowsAllFlows = reader.getKnowsAllFlows();
    handover.successor = Model::Incarnation(reader.getSuccessor());
    handover.part = reader.getPart();
    handover.partCount = reader.getPartCount();
    handover.flows = readFlows(reader.getFlows());
    return handover;
}

static void write(Rpc::Datagram::Builder root, const HandoverRequest &request)
{
    writeHop(root.initHandoverRequest().initRequester(), request.requester);
}

static void write(Rpc::Datagram::Builder root, const OwnerAnswer &answer)
{
    auto group = root.initOwnerAnswer();
    writeHop(group.initAnswerer(), answer.answerer);
    group.setKnowsAllFlows(answer.knowsAllFlows);
    writeFlows(group.initDenied(unsigned(answer.denied.size())), answer.denied);
    writeFlows(group.initOwned(unsigned(answer.owned.size())), answer.owned);
}

std::vector<std::byte> encodeDatagram(const Datagram &datagram)
{
    std::vector<std::byte> encoded;
    encodeDatagram(datagram, encoded);
    return encoded;
}

static void write(Rpc::Datagram::Builder root, const StateNotice &notice)
{
    auto group = root.initStateNotice();
    writeHop(group.initSubject(), {notice.instance, notice.incarnation, {}});
    group.setSuspect(notice.state == Model::InstanceState::Suspect);
}

void encodeDatagram(const Datagram &datagram, std::vector<std::byte> &encoded)
{
    capnp::word scratch[ScratchWords] = {};
    capnp::MallocMessageBuilder message(kj::arrayPtr(scratch, ScratchWords));
    auto root = message.initRoot<Rpc::Datagram>();
    root.setService(std::uint64_t(datagram.service));
    root.setGeneration(std::uint64_t(datagram.generation));
    std::visit([&root](const auto &content) { write(root, content); }, datagram.content);

    const std::size_t unpackedBytes =
        capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word);
    const bool packs = isPacked(datagram.content);
    // Packing adds two bytes to a word at most, and begins after the marker.
    encoded.resize(packs ? 1 + unpackedBytes + unpackedBytes / 4 : unpackedBytes);
    auto *const begin = reinterpret_cast<kj::byte *>(encoded.data());
    if (!packs) {
        kj::ArrayOutputStream stream(kj::arrayPtr(begin, encoded.size()));
        capnp::writeMessage(stream, message);
        return;
    }
    encoded[0] = PackedMarker;
    kj::ArrayOutputStream stream(kj::arrayPtr(begin + 1, encoded.size() - 1));
    capnp::writePackedMessage(stream, message);
    encoded.resize(1 + stream.getArray().size());
}

static std::optional<PacketHeader> readPacketHeader(Rpc::Datagram::Packet::Reader packet)
{
    const auto chain = packet.getChain();
    if (chain.size() == 0 || chain.size() > Routing::MaxChainLength)
        return std::nullopt;
    if (packet.getPosition() >= chain.size())
        return std::nullopt;
    PacketHeader header;
    for (const auto hop : chain)
        header.chain.append(readHop(hop));
    header.position = packet.getPosition();
    header.passes = packet.getPasses();
    header.redirects = packet.getRedirects();
    header.opensFlow = packet.getOpensFlow();
    const double score = packet.getSearchedScore();
    header.searched = {score > 0 ? score : 0, packet.getSearchesSuspects()};
    header.origin = {packet.getOriginAddress(), packet.getOriginPort()};
    header.originSearches = packet.getOriginSearches();
    header.originContinues = packet.getOriginContinues();
    header.findings = Routing::SearchFindings::fromBits(packet.getGaps());
    header.asksServers = packet.getAsksServers();
    if (packet.getRestartAnnounced())
        header.findings.add(Routing::SearchGap::AgentAway);
    else if (packet.getIsUncertain() && packet.getGaps() == 0)
        header.findings.add(Routing::SearchGap::MembersUnsettled);
    header.servicesAsked = packet.getServicesAsked();
    header.isToClaimant = packet.getToClaimant();
    if (packet.hasTerms())
        header.terms = readTerms(packet.getTerms());
    return header;
}

static Redirects readRedirects(Rpc::Datagram::Redirects::Reader group)
{
    Redirects redirects{readHop(group.getOwner()), {}};
    for (const auto flow : group.getFlows())
        redirects.flows.push_back({readFlow(flow), Epoch(flow.getEpoch())});
    return redirects;
}

static std::optional<Report> readReport(Rpc::Datagram::Report::Reader group)
{
    const auto sender = readMember(group.getSender());
    if (!sender)
        return std::nullopt;
    Report report;
    report.sender = *sender;
    report.number = group.getReportNumber();
    report.waiting = group.getWaitingFlows();
    report.open = group.getOpenFlows();
    report.slots = group.getSlots();
    report.answerTime = std::chrono::microseconds(group.getAnswerMicros());
    report.failureShare = std::min(1.0, group.getFailedPerMille() / PerMille);
    report.mayHoldUnknownFlows = group.getUnknownFlows();
    report.hasOlderServer = group.getOlderServer();
    report.rosterDigest = group.getKnownMembers();
    report.wantsRoster = group.getWantsRoster();
    report.isLeaving = group.getLeaves();
    const auto details = group.getDetails();
    report.evacuations = readEvacuations(details.getEvacuations());
    report.startDelay = std::chrono::milliseconds(details.getStartDelayMs());
    report.isWarmingUp = details.getWarmsUp();
    report.previousGeneration = Model::Generation(details.getPreviousGeneration());
    return report;
}

static std::optional<RosterPart> readRoster(Rpc::Datagram::Roster::Reader group)
{
    if (group.getScope() > Rpc::RosterScope::COMPLETE)
        return std::nullopt;
    RosterPart part{group.getRosterOf(),
                    group.getAfterName(),
                    group.getEndsRoster(),
                    {},
                    RosterScope(std::uint16_t(group.getScope()))};
    for (const auto entry : group.getMembers()) {
        if (auto member = readMember(entry))
            part.members.push_back(std::move(*member));
    }
    return part;
}

static std::optional<Datagram> readDatagram(Rpc::Datagram::Reader root)
{
    Datagram datagram{
        Model::ServiceId(root.getService()), Model::Generation(root.getGeneration()), {}};
    switch (root.which()) {
    case Rpc::Datagram::PACKET: {
        auto header = readPacketHeader(root.getPacket());
        if (!header)
            return std::nullopt;
        header->generation = datagram.generation;
        datagram.content = *header;
        return datagram;
    }
    case Rpc::Datagram::REDIRECTS:
        datagram.content = readRedirects(root.getRedirects());
        return datagram;
    case Rpc::Datagram::PROBE: {
        const auto probe = root.getProbe();
        datagram.content =
            Probe{probe.getSequence(), readHop(probe.getSender()), readHop(probe.getTarget())};
        return datagram;
    }
    case Rpc::Datagram::STATE_NOTICE: {
        const auto notice = root.getStateNotice();
        const Routing::Hop subject = readHop(notice.getSubject());
        datagram.content = StateNotice{subject.instance, subject.incarnation,
                                       notice.getSuspect() ? Model::InstanceState::Suspect
                                                           : Model::InstanceState::Draining};
        return datagram;
    }
    case Rpc::Datagram::REPORT: {
        auto report = readReport(root.getReport());
        if (!report)
            return std::nullopt;
        datagram.content = std::move(*report);
        return datagram;
    }
    case Rpc::Datagram::ROSTER: {
        auto part = readRoster(root.getRoster());
        if (!part)
            return std::nullopt;
        datagram.content = std::move(*part);
        return datagram;
    }
    case Rpc::Datagram::EVACUATION_NOTICE:
        datagram.content = EvacuationNotice{readEvacuations(root.getEvacuationNotice())};
        return datagram;
    case Rpc::Datagram::HANDOVER: {
        auto handover = readHandover(root.getHandover());
        if (!handover)
            return std::nullopt;
        datagram.content = std::move(*handover);
        return datagram;
    }
    case Rpc::Datagram::HANDOVER_REQUEST:
        datagram.content = HandoverRequest{readHop(root.getHandoverRequest().getRequester())};
        return datagram;
    case Rpc::Datagram::OWNER_QUERY: {
        const auto query = root.getOwnerQuery();
        datagram.content = OwnerQuery{{query.getAskerAddress(), query.getAskerPort()},
                                      readFlows(query.getAskedFlows())};
        return datagram;
    }
    case Rpc::Datagram::OWNER_ANSWER: {
        const auto answer = root.getOwnerAnswer();
        datagram.content = OwnerAnswer{readHop(answer.getAnswerer()), answer.getKnowsAllFlows(),
                                       readFlows(answer.getDenied()), readFlows(answer.getOwned())};
        return datagram;
    }
    case Rpc::Datagram::PROBE_ANSWER: {
        const auto answer = root.getProbeAnswer();
        datagram.content = ProbeAnswer{answer.getSequence(), readHop(answer.getTarget()),
                                       Model::Incarnation(answer.getAskerIncarnation())};
        return datagram;
    }
    }
    return std::nullopt;
}

static std::optional<ReceivedDatagram> decodePacked(Bytes bytes)
{
    try {
        kj::ArrayInputStream stream(
            kj::arrayPtr(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
        capnp::ReaderOptions options;
        options.traversalLimitInWords = MaxDatagramWords;
        capnp::PackedMessageReader message(stream, options);
        auto datagram = readDatagram(message.getRoot<Rpc::Datagram>());
        if (!datagram || !isPacked(datagram->content))
            return std::nullopt;
        return ReceivedDatagram{std::move(*datagram), {}};
    } catch (const kj::Exception &) {
        return std::nullopt;
    }
}

std::optional<ReceivedDatagram> decodeDatagram(Bytes bytes)
{
    if (!bytes.empty() && bytes[0] == PackedMarker)
        return decodePacked(bytes.subspan(1));
    const std::size_t words = bytes.size() / sizeof(capnp::word);
    if (words == 0 || words > MaxDatagramWords
        || reinterpret_cast<std::uintptr_t>(bytes.data()) % alignof(capnp::word) != 0)
        return std::nullopt;
    const auto *begin = reinterpret_cast<const capnp::word *>(bytes.data());
    try {
        const auto input = kj::arrayPtr(begin, words);
        if (capnp::expectedSizeInWordsFromPrefix(input) > words)
            return std::nullopt;
        capnp::FlatArrayMessageReader message(input);
        auto datagram = readDatagram(message.getRoot<Rpc::Datagram>());
        if (!datagram)
            return std::nullopt;
        const std::size_t headerBytes = std::size_t(message.getEnd() - begin) * sizeof(capnp::word);
        return ReceivedDatagram{std::move(*datagram), bytes.subspan(headerBytes)};
    } catch (const kj::Exception &) {
        return std::nullopt;
    }
}

} // namespace Tunnel
