#include "routing/routingtable.h"

#include "routing/hash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>
#include <tuple>

namespace Routing {

static constexpr std::uint16_t NoInstance = std::numeric_limits<std::uint16_t>::max();
/// With fewer live hops among the stored ranks of a bucket, all instances are ranked again.
static constexpr std::size_t MinLiveHops = 2;

static constexpr double TwoToThe53 = 9007199254740992.0;

/// Score of weighted rendezvous hashing: -weight / ln(u) with u uniform in (0, 1).
static double score(Model::InstanceId instance, double capacity, std::size_t bucket)
{
    const std::uint64_t bits = mixedHash(std::uint64_t(instance) ^ mixedHash(bucket + 1));
    const double uniform = (double(bits >> 11) + 0.5) / TwoToThe53;
    return -capacity / std::log(uniform);
}

static std::size_t bucketOf(std::uint64_t flowHash)
{
    return flowHash % BucketCount;
}

static bool acceptsAnyState(Model::InstanceState)
{
    return true;
}

static bool hasSameRanking(const Model::Instance &left, const Model::Instance &right)
{
    return left.name == right.name && left.capacity == right.capacity;
}

/// Returns the best-ranked instances for \a bucket among those whose state \a isWanted accepts.
template<typename F>
ServiceTable::Rank ServiceTable::rankAll(std::size_t bucket, F isWanted) const
{
    Rank rank;
    rank.fill(NoInstance);
    std::array<double, MaxChainLength> scores{};
    for (std::size_t index = 0; index < instances_.size(); ++index) {
        const Model::Instance &instance = instances_[index];
        if (!isWanted(instance.state))
            continue;
        double candidate = score(ids_[index], instance.capacity, bucket);
        auto candidateIndex = std::uint16_t(index);
        for (std::size_t position = 0; position < rank.size(); ++position) {
            if (rank[position] != NoInstance && scores[position] >= candidate)
                continue;
            std::swap(scores[position], candidate);
            std::swap(rank[position], candidateIndex);
            if (candidateIndex == NoInstance)
                break;
        }
    }
    return rank;
}

ServiceTable::ServiceTable(Model::Service service, std::vector<Model::Instance> instances)
    : service_(std::move(service))
    , id_(Model::serviceId(service_.name))
    , instances_(std::move(instances))
{
    indexInstances();
    buckets_.resize(BucketCount);
    for (std::size_t bucket = 0; bucket < BucketCount; ++bucket)
        buckets_[bucket] = rankAll(bucket, acceptsAnyState);
}

ServiceTable::ServiceTable(const ServiceTable &previous, std::vector<Model::Instance> instances)
    : service_(previous.service_)
    , id_(previous.id_)
    , instances_(std::move(instances))
{
    indexInstances();

    // Indexes of the previous instances in the new list; NoInstance for those that were removed or
    // have another capacity.
    std::vector<std::uint16_t> newIndexes(previous.instances_.size(), NoInstance);
    std::vector<bool> known(instances_.size(), false);
    for (std::size_t before = 0, now = 0; before < newIndexes.size(); ++before) {
        while (now < instances_.size() && instances_[now].name < previous.instances_[before].name)
            ++now;
        if (now == instances_.size()
            || !hasSameRanking(instances_[now], previous.instances_[before]))
            continue;
        newIndexes[before] = std::uint16_t(now);
        known[now] = true;
    }

    std::vector<std::uint16_t> added;
    for (std::size_t now = 0; now < instances_.size(); ++now) {
        if (!known[now])
            added.push_back(std::uint16_t(now));
    }

    buckets_ = previous.buckets_;
    for (std::size_t bucket = 0; bucket < BucketCount; ++bucket) {
        Rank &rank = buckets_[bucket];
        bool lostInstance = false;
        for (std::uint16_t &index : rank) {
            if (index == NoInstance)
                continue;
            index = newIndexes[index];
            lostInstance |= index == NoInstance;
        }
        if (lostInstance) {
            rank = rankAll(bucket, acceptsAnyState);
            continue;
        }
        for (std::uint16_t candidate : added) {
            const double candidateScore =
                score(ids_[candidate], instances_[candidate].capacity, bucket);
            for (std::uint16_t &index : rank) {
                if (index != NoInstance
                    && score(ids_[index], instances_[index].capacity, bucket) >= candidateScore)
                    continue;
                auto *position = &index;
                std::move_backward(position, rank.data() + rank.size() - 1,
                                   rank.data() + rank.size());
                *position = candidate;
                break;
            }
        }
    }
}

void ServiceTable::indexInstances()
{
    std::erase_if(instances_, [](const auto &instance) { return instance.capacity <= 0; });
    std::sort(instances_.begin(), instances_.end(),
              [](const auto &left, const auto &right) { return left.name < right.name; });
    if (instances_.size() >= NoInstance)
        instances_.resize(NoInstance - 1);
    ids_.clear();
    for (const Model::Instance &instance : instances_)
        ids_.push_back(Model::instanceId(instance.name));
}

Hop ServiceTable::hopOf(std::uint16_t index) const
{
    const Model::Instance &instance = instances_[index];
    return {ids_[index], instance.incarnation, instance.tunnel};
}

/// Appends the instances of \a rank whose state \a isWanted accepts, until \a chain is full.
template<typename F>
void ServiceTable::appendRanked(Chain &chain, const Rank &rank, F isWanted) const
{
    for (std::uint16_t index : rank) {
        if (index == NoInstance || chain.size() == MaxChainLength)
            return;
        if (isWanted(instances_[index].state))
            chain.append(hopOf(index));
    }
}

Chain ServiceTable::chainFor(std::uint64_t flowHash, PacketKind kind) const
{
    Chain chain = runningChainFor(flowHash, kind);
    // A suspect instance may still own flows; it is tried after the others.
    if (kind == PacketKind::ContinuesFlow)
        appendRanked(chain, buckets_[bucketOf(flowHash)], [](Model::InstanceState state) {
            return state == Model::InstanceState::Suspect;
        });
    return chain;
}

Chain ServiceTable::runningChainFor(std::uint64_t flowHash, PacketKind kind) const
{
    const std::size_t bucket = bucketOf(flowHash);
    const bool opensFlow = kind == PacketKind::OpensFlow;
    const auto isWanted = [opensFlow](Model::InstanceState state) {
        return opensFlow ? state == Model::InstanceState::Ready
                         : state != Model::InstanceState::Suspect;
    };
    Chain chain;
    appendRanked(chain, buckets_[bucket], isWanted);
    // Most ranked instances may be draining, because many rentals end at once, or may have been
    // lost together with a failure domain.
    if (chain.size() < MinLiveHops)
        chain = {};
    if (chain.isEmpty())
        appendRanked(chain, rankAll(bucket, isWanted), isWanted);
    return chain;
}

bool ServiceTable::hasRunning() const
{
    return std::any_of(instances_.begin(), instances_.end(), [](const Model::Instance &instance) {
        return instance.state != Model::InstanceState::Suspect;
    });
}

std::vector<Hop> ServiceTable::suspectInstances() const
{
    std::vector<Hop> hops;
    for (std::size_t index = 0; index < instances_.size(); ++index) {
        if (instances_[index].state == Model::InstanceState::Suspect)
            hops.push_back(hopOf(std::uint16_t(index)));
    }
    return hops;
}

bool ServiceTable::isRunning(Model::InstanceId instance) const
{
    const auto known = std::find(ids_.begin(), ids_.end(), instance);
    return known != ids_.end()
           && instances_[std::size_t(known - ids_.begin())].state != Model::InstanceState::Suspect;
}

ServiceTable::Continuation ServiceTable::chainAfter(std::uint64_t flowHash, const Chain &tried,
                                                    const SearchPosition &position,
                                                    bool includesSuspects) const
{
    const std::size_t bucket = bucketOf(flowHash);
    std::vector<std::tuple<bool, double, std::uint16_t>> ranking;
    ranking.reserve(instances_.size());
    for (std::size_t index = 0; index < instances_.size(); ++index) {
        const Model::Instance &instance = instances_[index];
        const bool isSuspect = instance.state == Model::InstanceState::Suspect;
        if (isSuspect ? !includesSuspects : position.isAmongSuspects)
            continue;
        const double instanceScore = score(ids_[index], instance.capacity, bucket);
        const bool isInCurrentPart = isSuspect == position.isAmongSuspects;
        const bool wasAsked =
            isInCurrentPart && position.score > 0 && instanceScore >= position.score;
        if (!wasAsked)
            ranking.emplace_back(isSuspect, -instanceScore, index);
    }
    std::sort(ranking.begin(), ranking.end());

    Continuation continuation{{}, position};
    for (const auto &[isSuspect, negatedScore, index] : ranking) {
        if (continuation.chain.size() == MaxChainLength)
            break;
        const Hop hop = hopOf(index);
        const bool wasTried = std::any_of(tried.begin(), tried.end(), [&hop](const Hop &other) {
            return other.instance == hop.instance;
        });
        if (!wasTried)
            continuation.chain.append(hop);
        continuation.next = {-negatedScore, isSuspect};
    }
    return continuation;
}

std::size_t ServiceTable::memoryBytes() const
{
    return buckets_.size() * sizeof(Rank) + instances_.size() * sizeof(Model::Instance)
           + ids_.size() * sizeof(Model::InstanceId);
}

/// Returns the table of \a service with \a members, derived from \a before if possible. \a before
/// may be null.
static std::shared_ptr<const ServiceTable>
deriveTable(const std::shared_ptr<const ServiceTable> *before, const Model::Service &service,
            std::vector<Model::Instance> members)
{
    std::sort(members.begin(), members.end(),
              [](const auto &left, const auto &right) { return left.name < right.name; });
    if (!before || (*before)->service() != service)
        return std::make_shared<ServiceTable>(service, std::move(members));
    if ((*before)->instances() == members)
        return *before;
    return std::make_shared<ServiceTable>(**before, std::move(members));
}

std::shared_ptr<const RoutingTable>
RoutingTable::build(const Model::Configuration &configuration,
                    const std::vector<Model::Instance> &instances, const RoutingTable &previous,
                    std::uint64_t version, const FormerTargets &former)
{
    std::map<std::string, std::vector<Model::Instance>> byService;
    for (const Model::Instance &instance : instances)
        byService[instance.service].push_back(instance);

    auto table = std::make_shared<RoutingTable>();
    table->generation_ = configuration.generation;
    table->version_ = version;
    table->former_ = former;
    for (const Model::Service &service : configuration.services) {
        table->byName_.emplace(service.name, deriveTable(previous.lookUp(service.name), service,
                                                         std::move(byService[service.name])));
        byService.erase(service.name);
    }
    for (auto &[name, members] : byService) {
        Model::Service service;
        service.name = name;
        table->unconfigured_.emplace(
            name, deriveTable(previous.lookUp(name), service, std::move(members)));
    }
    for (const auto &[address, targets] : targetsByAddress(configuration))
        table->addTargets(address, targets);
    return table;
}

void RoutingTable::addTargets(const Model::Endpoint &address, const Targets &targets)
{
    std::vector<Target> &entries = byAddress_[address];
    std::uint64_t cumulativeWeight = 0;
    for (const Model::RouteTarget &target : targets) {
        cumulativeWeight += target.weight;
        entries.push_back({byName_.at(target.service), cumulativeWeight});
    }
}

const std::shared_ptr<const ServiceTable> *RoutingTable::lookUp(const std::string &name) const
{
    for (const TablesByName *tables : {&byName_, &unconfigured_}) {
        if (const auto table = tables->find(name); table != tables->end())
            return &table->second;
    }
    return nullptr;
}

const ServiceTable *RoutingTable::find(const Model::Endpoint &address) const
{
    const auto entry = byAddress_.find(address);
    if (entry == byAddress_.end() || entry->second.empty())
        return nullptr;
    return entry->second.front().table.get();
}

const ServiceTable *RoutingTable::pickByWeight(const Model::Endpoint &address,
                                               std::uint64_t flowHash) const
{
    const auto entry = byAddress_.find(address);
    if (entry == byAddress_.end() || entry->second.empty())
        return nullptr;
    const std::vector<Target> &targets = entry->second;
    const std::uint64_t point = mixedHash(flowHash) % targets.back().cumulativeWeight;
    const auto target = std::upper_bound(
        targets.begin(), targets.end(), point,
        [](std::uint64_t value, const Target &entry) { return value < entry.cumulativeWeight; });
    return target->table.get();
}

RoutingTable::Knowledge RoutingTable::knowledgeOf(const Model::Endpoint &address) const
{
    if (!former_.isComplete || former_.unknown.contains(address))
        return Knowledge::Unknown;
    return former_.byAddress.contains(address) ? Knowledge::Changed : Knowledge::Unchanged;
}

static void appendIfAbsent(std::vector<const ServiceTable *> &tables, const ServiceTable *table)
{
    if (table && std::find(tables.begin(), tables.end(), table) == tables.end())
        tables.push_back(table);
}

std::vector<const ServiceTable *> RoutingTable::knownOwners(const Model::Endpoint &address,
                                                            std::uint64_t flowHash,
                                                            const ServiceTable *first) const
{
    std::vector<const ServiceTable *> owners;
    appendIfAbsent(owners, first);
    appendIfAbsent(owners, pickByWeight(address, flowHash));
    if (const auto former = former_.byAddress.find(address); former != former_.byAddress.end()) {
        for (const Targets &targets : former->second) {
            if (const auto *table = lookUp(selectService(targets, flowHash)))
                appendIfAbsent(owners, table->get());
        }
    }
    return owners;
}

std::vector<const ServiceTable *> RoutingTable::possibleOwners(const Model::Endpoint &address,
                                                               std::uint64_t flowHash,
                                                               const ServiceTable *first) const
{
    const std::vector<const ServiceTable *> known = knownOwners(address, flowHash, first);
    std::vector<const ServiceTable *> owners = known;
    for (const TablesByName *tables : {&byName_, &unconfigured_}) {
        for (const auto &[name, table] : *tables) {
            const bool isKnown = std::find(known.begin(), known.end(), table.get()) != known.end();
            if (!isKnown && !table->instances().empty())
                owners.push_back(table.get());
        }
    }
    return owners;
}

const ServiceTable *RoutingTable::findByName(const std::string &name) const
{
    const auto entry = byName_.find(name);
    return entry == byName_.end() ? nullptr : entry->second.get();
}

const ServiceTable *RoutingTable::findById(Model::ServiceId id) const
{
    for (const TablesByName *tables : {&byName_, &unconfigured_}) {
        for (const auto &[name, table] : *tables) {
            if (table->id() == id)
                return table.get();
        }
    }
    return nullptr;
}

std::size_t RoutingTable::memoryBytes() const
{
    std::size_t bytes = 0;
    for (const TablesByName *tables : {&byName_, &unconfigured_}) {
        for (const auto &[name, table] : *tables)
            bytes += table->memoryBytes();
    }
    return bytes;
}

} // namespace Routing
