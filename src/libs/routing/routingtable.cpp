#include "routing/routingtable.h"

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

static std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33);
}

/// Score of weighted rendezvous hashing: -weight / ln(u) with u uniform in (0, 1).
static double score(Model::InstanceId instance, double capacity, std::size_t bucket)
{
    const std::uint64_t bits = mix(std::uint64_t(instance) ^ mix(bucket + 1));
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
    // A suspect instance may still own flows; it is tried after the others.
    if (!opensFlow)
        appendRanked(chain, buckets_[bucket], [](Model::InstanceState state) {
            return state == Model::InstanceState::Suspect;
        });
    return chain;
}

bool ServiceTable::isRunning(Model::InstanceId instance) const
{
    const auto known = std::find(ids_.begin(), ids_.end(), instance);
    return known != ids_.end()
           && instances_[std::size_t(known - ids_.begin())].state != Model::InstanceState::Suspect;
}

ServiceTable::Continuation ServiceTable::chainAfter(std::uint64_t flowHash, const Chain &tried,
                                                    std::size_t first) const
{
    const std::size_t bucket = bucketOf(flowHash);
    // Suspect instances are tried last, because a search ends at an instance that isn't running.
    std::vector<std::tuple<bool, double, std::uint16_t>> ranking;
    ranking.reserve(instances_.size());
    for (std::size_t index = 0; index < instances_.size(); ++index) {
        const Model::Instance &instance = instances_[index];
        ranking.emplace_back(instance.state == Model::InstanceState::Suspect,
                             -score(ids_[index], instance.capacity, bucket), index);
    }
    std::sort(ranking.begin(), ranking.end());

    Continuation continuation;
    std::size_t rank = first;
    for (; rank < ranking.size() && continuation.chain.size() < MaxChainLength; ++rank) {
        const Hop hop = hopOf(std::get<std::uint16_t>(ranking[rank]));
        const bool wasTried = std::any_of(tried.begin(), tried.end(), [&hop](const Hop &other) {
            return other.instance == hop.instance;
        });
        if (!wasTried)
            continuation.chain.append(hop);
    }
    continuation.next = rank;
    return continuation;
}

std::size_t ServiceTable::memoryBytes() const
{
    return buckets_.size() * sizeof(Rank) + instances_.size() * sizeof(Model::Instance)
           + ids_.size() * sizeof(Model::InstanceId);
}

std::shared_ptr<const RoutingTable>
RoutingTable::build(const Model::Configuration &configuration,
                    const std::vector<Model::Instance> &instances, const RoutingTable &previous,
                    std::uint64_t version)
{
    std::map<std::string, std::vector<Model::Instance>> byService;
    for (const Model::Instance &instance : instances)
        byService[instance.service].push_back(instance);

    auto table = std::make_shared<RoutingTable>();
    table->generation_ = configuration.generation;
    table->version_ = version;
    for (const Model::Service &service : configuration.services) {
        std::vector<Model::Instance> &members = byService[service.name];
        std::sort(members.begin(), members.end(),
                  [](const auto &left, const auto &right) { return left.name < right.name; });
        std::shared_ptr<const ServiceTable> entry;
        const auto before = previous.byName_.find(service.name);
        if (before == previous.byName_.end() || before->second->service() != service)
            entry = std::make_shared<ServiceTable>(service, std::move(members));
        else if (before->second->instances() == members)
            entry = before->second;
        else
            entry = std::make_shared<ServiceTable>(*before->second, std::move(members));
        table->byName_.emplace(service.name, std::move(entry));
        if (service.address.isValid())
            table->addTarget(service.address, service.name, 1);
    }
    for (const Model::Route &route : configuration.routes) {
        for (const Model::RouteTarget &target : route.targets)
            table->addTarget(route.address, target.service, target.weight);
    }
    return table;
}

void RoutingTable::addTarget(const Model::Endpoint &address, const std::string &service,
                             std::uint32_t weight)
{
    const auto table = byName_.find(service);
    if (table == byName_.end() || weight == 0)
        return;
    std::vector<Target> &targets = byAddress_[address];
    const std::uint64_t weightsBefore = targets.empty() ? 0 : targets.back().cumulativeWeight;
    targets.push_back({table->second, weightsBefore + weight});
}

const ServiceTable *RoutingTable::find(const Model::Endpoint &address) const
{
    const auto entry = byAddress_.find(address);
    return entry == byAddress_.end() ? nullptr : entry->second.front().table.get();
}

const ServiceTable *RoutingTable::pickByWeight(const Model::Endpoint &address,
                                               std::uint64_t flowHash) const
{
    const auto entry = byAddress_.find(address);
    if (entry == byAddress_.end())
        return nullptr;
    const std::vector<Target> &targets = entry->second;
    const std::uint64_t point = mix(flowHash) % targets.back().cumulativeWeight;
    const auto target = std::upper_bound(
        targets.begin(), targets.end(), point,
        [](std::uint64_t value, const Target &entry) { return value < entry.cumulativeWeight; });
    return target->table.get();
}

std::vector<const ServiceTable *> RoutingTable::tablesAt(const Model::Endpoint &address) const
{
    std::vector<const ServiceTable *> tables;
    if (const auto entry = byAddress_.find(address); entry != byAddress_.end()) {
        for (const Target &target : entry->second)
            tables.push_back(target.table.get());
    }
    return tables;
}

const ServiceTable *RoutingTable::findByName(const std::string &name) const
{
    const auto entry = byName_.find(name);
    return entry == byName_.end() ? nullptr : entry->second.get();
}

std::size_t RoutingTable::memoryBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[name, table] : byName_)
        bytes += table->memoryBytes();
    return bytes;
}

} // namespace Routing
