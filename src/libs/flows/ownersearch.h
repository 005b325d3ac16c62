#pragma once

#include "routing/routingtable.h"
#include "tunnel/datagram.h"

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace Flows {

/// Maximum number of services that one packet asks for the owner of its flow.
constexpr std::uint8_t MaxSearchedServices = 32;

/// Send the packet to the first agent of \c header.chain, which belongs to \c service.
struct AskService
{
    Model::ServiceId service{};
    Tunnel::PacketHeader header;
};

/// All services were asked that can be.
struct SearchEnded
{
    Routing::SearchFindings findings;
};

using SearchStep = std::variant<AskService, SearchEnded>;

/// Returns the next step of a search for the owner of a flow in several services.
///
/// \a owners are the services to ask, in this order, and \a flowHash identifies the flow. \a header
/// is that of the packet so far. It was returned by \a asked, the service that was asked last; the
/// search starts if that is not set. Suspect agents are not asked, since a packet that is sent to a
/// process that does not run is lost. Thread-safe.
SearchStep askNextService(const std::vector<const Routing::ServiceTable *> &owners,
                          std::uint64_t flowHash, const Tunnel::PacketHeader &header,
                          std::optional<Model::ServiceId> asked);

/// Returns a step that asks one suspect agent of \a owners, and nobody else: the one numbered
/// \a turn, so that successive packets ask different ones. Returns nothing if none is suspect. Such
/// an agent may run after all. \a header is that of the packet so far. Thread-safe.
std::optional<AskService> askSuspect(const std::vector<const Routing::ServiceTable *> &owners,
                                     const Tunnel::PacketHeader &header, std::size_t turn);

/// Continues a search at the end of its chain with the instances of \a table that were not tried
/// yet; with suspect ones if \a includesSuspects. Returns nothing if all were tried or the packet
/// was forwarded MaxSearchPasses times.
std::optional<Tunnel::PacketHeader> continueSearch(const Routing::ServiceTable &table,
                                                   const Tunnel::PacketHeader &header,
                                                   const Model::FlowKey &flow,
                                                   bool includesSuspects);

/// Begins the search in which the agents of \a table ask their backend servers, after one that
/// ended with \a header. Returns nothing if no instance runs.
std::optional<Tunnel::PacketHeader> searchAtServers(const Routing::ServiceTable &table,
                                                    const Tunnel::PacketHeader &header,
                                                    const Model::FlowKey &flow);

} // namespace Flows
