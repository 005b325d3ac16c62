#include "forwarding/decisionlog.h"

#include "observability/log.h"

#include <fmt/ranges.h>

namespace Forwarding {

using Observability::Level;
using Observability::logDecisionLine;

/// Maximum number of agents that are listed in one line.
static constexpr std::size_t MaxNamedAgents = 8;

/// Maximum number of services that are listed in one line.
static constexpr std::size_t MaxNamedServices = 8;

static std::string receiverText(const ForwardPacket &forwardPacket)
{
    return Model::endpointText(forwardPacket.receiver);
}

static const char *kindText(const Tunnel::TcpPacket &packet)
{
    return packet.opensFlow() ? "syn" : "flow-packet";
}

void logDecision(const Tunnel::TcpPacket &packet, const BalancerVerdict &verdict,
                 Model::Generation generation)
{
    if (const auto *forwardPacket = std::get_if<ForwardPacket>(&verdict)) {
        if (packet.opensFlow())
            logDecisionLine(Level::Info, "flow-offered",
                            {{"flow", Model::flowText(packet.flow)},
                             {"copy", packet.acknowledgement},
                             {"generation", std::uint64_t(forwardPacket->datagram.generation)},
                             {"agent", receiverText(*forwardPacket)}});
    } else if (const auto *reset = std::get_if<ResetFlow>(&verdict)) {
        logReset(*reset, reset->servicesAsked.empty() ? "no-route" : "no-owner", generation);
    } else {
        logDecisionLine(Level::Warning, "packet-dropped",
                        {{"flow", Model::flowText(packet.flow)},
                         {"kind", kindText(packet)},
                         {"copy", packet.acknowledgement},
                         {"cause", balancerDropText(std::get<BalancerDrop>(verdict))}});
    }
}

void logSearch(const Tunnel::TcpPacket &packet, const Routing::RoutingTable &table,
               Model::ServiceId service, const Tunnel::PacketHeader &header,
               const BalancerVerdict &verdict)
{
    const auto *const asked = table.findById(service);
    const auto *const forwardPacket = std::get_if<ForwardPacket>(&verdict);
    const auto *const drop = std::get_if<BalancerDrop>(&verdict);
    const std::string outcome = forwardPacket ? receiverText(*forwardPacket)
                                : drop        ? balancerDropText(*drop)
                                              : "reset";
    logDecisionLine(Level::Info, "search-continued",
                    {{"flow", Model::flowText(packet.flow)},
                     {"asked", asked ? asked->service().name : "unknown"},
                     {"services", header.servicesAsked},
                     {"certain", header.findings == Routing::SearchFindings()},
                     {"gaps", Routing::findingsText(header.findings)},
                     {"generation", std::uint64_t(header.generation)},
                     {"outcome", outcome}});
    if (const auto *reset = std::get_if<ResetFlow>(&verdict))
        logReset(*reset, "no-owner", table.generation());
}

void logDecision(const Tunnel::TcpPacket &packet, const Tunnel::PacketHeader &header,
                 const AgentVerdict &verdict)
{
    if (std::holds_alternative<DeliverToBackend>(verdict)) {
        if (packet.opensFlow() || header.passes > 0)
            logDecisionLine(Level::Info,
                            packet.opensFlow() ? "flow-accepted" : "flow-packet-found-owner",
                            {{"flow", Model::flowText(packet.flow)}, {"passes", header.passes}});
    } else if (const auto *forwardPacket = std::get_if<ForwardPacket>(&verdict)) {
        logDecisionLine(Level::Info, "packet-passed-on",
                        {{"flow", Model::flowText(packet.flow)},
                         {"kind", kindText(packet)},
                         {"passes", header.passes},
                         {"agent", receiverText(*forwardPacket)}});
    } else if (const auto *returned = std::get_if<ReturnToOrigin>(&verdict)) {
        const auto &search = std::get<Tunnel::PacketHeader>(returned->datagram.content);
        logDecisionLine(Level::Info, "search-returned",
                        {{"flow", Model::flowText(packet.flow)},
                         {"passes", search.passes},
                         {"certain", search.findings == Routing::SearchFindings()},
                         {"gaps", Routing::findingsText(search.findings)},
                         {"generation", std::uint64_t(search.generation)},
                         {"balancer", Model::endpointText(returned->receiver)}});
    } else if (const auto *cause = std::get_if<Flows::DropCause>(&verdict)) {
        logDecisionLine(Level::Warning, "packet-dropped",
                        {{"flow", Model::flowText(packet.flow)},
                         {"kind", kindText(packet)},
                         {"passes", header.passes},
                         {"cause", Flows::dropCauseText(*cause)}});
    } else if (const auto *reset = std::get_if<ResetFlow>(&verdict)) {
        logReset(*reset, "no-owner", header.generation);
    } else if (std::holds_alternative<HoldPacket>(verdict)) {
        logDecisionLine(Level::Info, "flow-held",
                        {{"flow", Model::flowText(packet.flow)},
                         {"copy", packet.acknowledgement},
                         {"passes", header.passes}});
    }
}

void logRequest(std::string_view id, const Tunnel::TcpPacket &packet, const AgentStatus &status)
{
    logDecisionLine(Level::Info, "request-delivered",
                    {{"request", id},
                     {"flow", Model::flowText(packet.flow)},
                     {"waiting", status.waiting},
                     {"answerMicros", status.answerTime.count()}});
}

void logReturned(const Tunnel::TcpPacket &packet, const AgentVerdict &verdict)
{
    const auto *const forwardPacket = std::get_if<ForwardPacket>(&verdict);
    const auto *const cause = std::get_if<Flows::DropCause>(&verdict);
    const auto *const toOrigin = std::get_if<ReturnToOrigin>(&verdict);
    const std::string outcome = forwardPacket ? receiverText(*forwardPacket)
                                : toOrigin    ? Model::endpointText(toOrigin->receiver)
                                : cause       ? Flows::dropCauseText(*cause)
                                              : "reset";
    logDecisionLine(
        Level::Info, "packet-returned",
        {{"flow", Model::flowText(packet.flow)}, {"kind", kindText(packet)}, {"outcome", outcome}});
}

void logAdmitted(const Model::FlowKey &flow)
{
    logDecisionLine(Level::Info, "flow-admitted", {{"flow", Model::flowText(flow)}});
}

void logExpired(const Model::FlowKey &flow)
{
    logDecisionLine(Level::Warning, "flow-not-admitted", {{"flow", Model::flowText(flow)}});
}

void logAccepting(const AgentStatus &status)
{
    logDecisionLine(Level::Info, "accepting",
                    {{"value", status.isAccepting},
                     {"waiting", status.waiting},
                     {"open", status.openFlows},
                     {"answerMicros", status.answerTime.count()}});
}

void logView(const Membership::Roster &roster, Model::Generation generation)
{
    std::size_t ready = 0;
    std::size_t named = 0;
    std::string others;
    for (const Model::Instance &agent : roster.agents()) {
        if (agent.state == Model::InstanceState::Ready)
            ++ready;
        else if (++named <= MaxNamedAgents)
            others += fmt::format("{}{}:{}", others.empty() ? "" : ",", agent.name,
                                  Model::stateText(agent.state));
    }
    logDecisionLine(Level::Info, "members-changed",
                    {{"readyAgents", ready},
                     {"otherAgents", named},
                     {"others", others},
                     {"balancers", roster.balancers().size()},
                     {"generation", std::uint64_t(generation)}});
}

void logEvacuations(const Model::Evacuations &evacuations)
{
    Observability::log(Level::Info, "evacuations-applied",
                       {{"domains", fmt::format("{}", fmt::join(evacuations.domains, ","))},
                        {"revision", evacuations.asOf.number()},
                        {"timeline", std::uint64_t(evacuations.asOf.timeline())}});
}

void logTakeover(const Flows::TakeoverOutcome &outcome)
{
    Observability::log(Level::Info, "flows-taken-over",
                       {{"flows", outcome.flows},
                        {"complete", outcome.isComplete},
                        {"answers", outcome.answers},
                        {"durationMs", outcome.duration.count()}});
}

void logFailedAnswer(const Tunnel::TcpPacket &packet, int status, const AgentStatus &agent)
{
    logDecisionLine(Level::Warning, "answer-failed",
                    {{"flow", Model::flowText(packet.flow)},
                     {"status", status},
                     {"failureShare", agent.failureShare},
                     {"waiting", agent.waiting}});
}

void logBackendReset(const Tunnel::TcpPacket &packet)
{
    logDecisionLine(Level::Info, "flow-reset-by-backend",
                    {{"flow", Model::flowText(packet.flow)}, {"sequence", packet.sequence}});
}

void logReset(const ResetFlow &reset, const char *cause, Model::Generation generation)
{
    const auto shown = std::span(reset.servicesAsked)
                           .first(std::min(reset.servicesAsked.size(), MaxNamedServices));
    const std::string services = fmt::format("{}", fmt::join(shown, ","));
    if (!reset.basis) {
        logDecisionLine(Level::Warning, "flow-reset",
                        {{"flow", Model::flowText(reset.flow)},
                         {"cause", cause},
                         {"services", services},
                         {"servicesAsked", reset.servicesAsked.size()},
                         {"generation", std::uint64_t(generation)}});
        return;
    }
    const DenialBasis &basis = *reset.basis;
    logDecisionLine(Level::Warning, "flow-reset",
                    {{"flow", Model::flowText(reset.flow)},
                     {"cause", cause},
                     {"services", services},
                     {"servicesAsked", reset.servicesAsked.size()},
                     {"generation", std::uint64_t(generation)},
                     {"uptimeMs", basis.uptime.count()},
                     {"rosterAgeMs", basis.rosterAge.count()},
                     {"agents", basis.agents},
                     {"scope", Tunnel::rosterScopeText(basis.scope)},
                     {"heartbeat", basis.heartbeat}});
}

} // namespace Forwarding
