#pragma once

#include "model/identity.h"
#include "model/service.h"
#include "routing/routehistory.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

namespace Routing {

/// Maximum number of agents in the chain of a packet.
constexpr std::size_t MaxChainLength = 4;

/// Number of buckets into which the flows of a service are divided by their hash.
constexpr std::size_t BucketCount = 4096;

/// One agent on the path of a packet.
struct Hop
{
    Model::InstanceId instance{};
    Model::Incarnation incarnation{};
    Model::Endpoint tunnel;

    bool operator==(const Hop &) const = default;
};

/// The agents that a packet visits until one of them owns its flow: best rank first, suspect
/// instances last.
class Chain
{
public:
    /// Precondition: size() < MaxChainLength. Not thread-safe.
    void append(const Hop &hop) { hops_[size_++] = hop; }

    std::size_t size() const { return size_; }
    bool isEmpty() const { return size_ == 0; }
    const Hop *begin() const { return hops_.data(); }
    const Hop *end() const { return hops_.data() + size_; }

    /// Precondition: \a index < size().
    const Hop &operator[](std::size_t index) const { return hops_[index]; }

private:
    std::array<Hop, MaxChainLength> hops_{};
    std::size_t size_ = 0;
};

/// How far a search over all instances of a service got. It names no rank, because the instances
/// that a packet visits may know different ones, and an instance must not be skipped if another one
/// is missing in the next table.
struct SearchPosition
{
    /// Instances with a greater or equal score for the flow were asked; 0 if none was.
    double score = 0;
    bool isAmongSuspects = false; ///< all others were asked, and suspect ones down to \c score

    bool isStart() const { return score == 0 && !isAmongSuspects; }
    bool operator==(const SearchPosition &) const = default;
};

enum class PacketKind {
    OpensFlow,     ///< a SYN; visits only instances that accept new flows
    ContinuesFlow, ///< any other packet; visits draining and suspect instances too
};

/// The ranking of the instances of one service for each bucket of flows.
///
/// Uses weighted rendezvous hashing, so that adding or removing an instance does not change the
/// order of any two others. Immutable, and therefore thread-safe.
class ServiceTable
{
public:
    /// Ranks \a instances, which all belong to \a service. Instances with a capacity of 0 or less
    /// are left out.
    ServiceTable(Model::Service service, std::vector<Model::Instance> instances);

    /// Derives the table for \a instances from \a previous. Recomputes only the buckets whose
    /// ranking changes.
    ServiceTable(const ServiceTable &previous, std::vector<Model::Instance> instances);

    const Model::Service &service() const { return service_; }
    Model::ServiceId id() const { return id_; }
    const std::vector<Model::Instance> &instances() const { return instances_; }

    /// Returns the chain for a packet of the flow with \a flowHash; empty if no instance can accept
    /// it.
    Chain chainFor(std::uint64_t flowHash, PacketKind kind) const;

    /// Does the same without suspect instances.
    Chain runningChainFor(std::uint64_t flowHash, PacketKind kind) const;

    /// Returns whether any instance is not suspect.
    bool hasRunning() const;

    /// Returns the suspect instances, ordered by name.
    std::vector<Hop> suspectInstances() const;

    /// Returns whether \a instance belongs to the service and is not suspect.
    bool isRunning(Model::InstanceId instance) const;

    /// The next instances of a search, and where it continues after them.
    struct Continuation
    {
        Chain chain;
        SearchPosition next;
    };

    /// Returns the next instances after \a position that are not in \a tried; an empty chain if
    /// none is left. Suspect instances come last, since a search ends at one that doesn't run; they
    /// are left out unless \a includesSuspects. Used to find the owner of a flow that no instance
    /// of its chain owns.
    Continuation chainAfter(std::uint64_t flowHash, const Chain &tried,
                            const SearchPosition &position, bool includesSuspects) const;

    /// Returns the memory used by the ranking, in bytes.
    std::size_t memoryBytes() const;

private:
    using Rank = std::array<std::uint16_t, MaxChainLength>;

    void indexInstances();
    template<typename F>
    Rank rankAll(std::size_t bucket, F isWanted) const;
    template<typename F>
    void appendRanked(Chain &chain, const Rank &rank, F isWanted) const;
    Hop hopOf(std::uint16_t index) const;

    Model::Service service_;
    Model::ServiceId id_;
    std::vector<Model::Instance> instances_;
    std::vector<Model::InstanceId> ids_;
    std::vector<Rank> buckets_;
};

/// All services by address, looked up by a balancer for each packet.
///
/// Immutable. A change creates a new table that shares the tables of unchanged services.
class RoutingTable
{
public:
    RoutingTable() = default;

    /// Builds the table for \a configuration and \a instances, which shares the tables of unchanged
    /// services with \a previous. Services that are not in \a configuration get no new flows, but
    /// their instances may own open ones. \a former are the targets of earlier configurations.
    /// Thread-safe.
    static std::shared_ptr<const RoutingTable>
    build(const Model::Configuration &configuration, const std::vector<Model::Instance> &instances,
          const RoutingTable &previous, std::uint64_t version, const FormerTargets &former = {});

    /// Whether \a address is configured, even if none of its services is. Thread-safe.
    bool hasRoute(const Model::Endpoint &address) const { return byAddress_.contains(address); }

    /// Returns the table of the first service at \a address, or null. Thread-safe.
    const ServiceTable *find(const Model::Endpoint &address) const;

    /// Returns the table of the service that the flow with \a flowHash to \a address belongs to,
    /// selected by the weights of the route; null if there is none. Thread-safe.
    const ServiceTable *pickByWeight(const Model::Endpoint &address, std::uint64_t flowHash) const;

    /// How much is known about the earlier configurations of an address.
    enum class Knowledge {
        Unchanged, ///< open flows belong to the service that pickByWeight() returns
        Changed,   ///< open flows belong to one of knownOwners()
        Unknown,   ///< open flows belong to one of possibleOwners()
    };

    /// Returns what is known about the earlier configurations of \a address. Thread-safe.
    Knowledge knowledgeOf(const Model::Endpoint &address) const;

    /// Returns the tables of the services to which the present and the known earlier configurations
    /// send an open flow to \a address with \a flowHash, in the order in which to ask for its
    /// owner, with \a first before them unless it is null. Thread-safe.
    std::vector<const ServiceTable *> knownOwners(const Model::Endpoint &address,
                                                  std::uint64_t flowHash,
                                                  const ServiceTable *first) const;

    /// Returns the same tables and then those of all other services with instances, to which other
    /// configurations may have sent the flow. Thread-safe.
    std::vector<const ServiceTable *> possibleOwners(const Model::Endpoint &address,
                                                     std::uint64_t flowHash,
                                                     const ServiceTable *first) const;

    /// Returns the table of the service called \a name, or null. Thread-safe.
    const ServiceTable *findByName(const std::string &name) const;

    /// Returns the table of the service with \a id, configured or not, or null. Thread-safe.
    const ServiceTable *findById(Model::ServiceId id) const;

    Model::Generation generation() const { return generation_; }
    std::uint64_t version() const { return version_; }
    std::size_t serviceCount() const { return byName_.size(); }

    /// Returns the memory used by all rankings, in bytes. Thread-safe.
    std::size_t memoryBytes() const;

private:
    struct EndpointHash
    {
        std::size_t operator()(const Model::Endpoint &endpoint) const noexcept
        {
            return (std::size_t(endpoint.address) << 16 | endpoint.port) * 0x9e3779b97f4a7c15ULL;
        }
    };

    struct Target
    {
        std::shared_ptr<const ServiceTable> table;
        std::uint64_t cumulativeWeight = 0; ///< sum of the weights of this target and all before it
    };

    using TablesByName = std::map<std::string, std::shared_ptr<const ServiceTable>>;

    void addTargets(const Model::Endpoint &address, const Targets &targets);
    const std::shared_ptr<const ServiceTable> *lookUp(const std::string &name) const;

    std::unordered_map<Model::Endpoint, std::vector<Target>, EndpointHash> byAddress_;
    TablesByName byName_;       ///< of the configured services
    TablesByName unconfigured_; ///< of other services with instances
    FormerTargets former_;
    Model::Generation generation_{};
    std::uint64_t version_ = 0;
};

} // namespace Routing
