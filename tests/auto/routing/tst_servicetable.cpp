#include "routing/routingtable.h"

#include "property.h"

#include <algorithm>
#include <map>
#include <set>

using namespace Routing;

static Model::Service orderDesk()
{
    Model::Service service;
    service.name = "order-desk";
    service.address = {0x0a280001, 80};
    return service;
}

static Model::Instance instanceNamed(std::size_t number, double capacity = 1.0)
{
    Model::Instance instance;
    instance.name = "agent-" + std::to_string(number);
    instance.service = "order-desk";
    instance.tunnel = {0x7f000001, std::uint16_t(1000 + number)};
    instance.capacity = capacity;
    instance.incarnation = Model::Incarnation(1);
    return instance;
}

static std::vector<Model::InstanceId> idsOf(const Chain &chain)
{
    std::vector<Model::InstanceId> ids;
    for (const Hop &hop : chain)
        ids.push_back(hop.instance);
    return ids;
}

TEST_GROUP(ServiceTable){};

TEST(ServiceTable, DerivedTableEqualsOneBuiltFromScratch)
{
    checkProperty("a table derived from the previous one equals one built from scratch", [] {
        std::map<std::size_t, Model::Instance> members;
        std::unique_ptr<ServiceTable> table;
        const auto changes = *rc::gen::inRange(1, 22);
        for (int change = 0; change < changes; ++change) {
            ++generatedSteps;
            const auto number = *rc::gen::inRange<std::size_t>(0, 12);
            const auto kind = *rc::gen::inRange(0, 5);
            if (kind < 2)
                members[number] = instanceNamed(number, double(*rc::gen::inRange(1, 4)));
            else if (kind == 2)
                members.erase(number);
            else if (members.contains(number))
                members[number].state = Model::InstanceState(*rc::gen::inRange(0, 3));
            std::vector<Model::Instance> instances;
            instances.reserve(members.size());
            for (const auto &[key, instance] : members)
                instances.push_back(instance);
            std::sort(instances.begin(), instances.end(),
                      [](const auto &left, const auto &right) { return left.name < right.name; });
            auto next = table ? std::make_unique<ServiceTable>(*table, instances)
                              : std::make_unique<ServiceTable>(orderDesk(), instances);
            const ServiceTable rebuilt(orderDesk(), instances);
            for (std::uint64_t hash = 0; hash < BucketCount; hash += 61) {
                for (const PacketKind kind : {PacketKind::OpensFlow, PacketKind::ContinuesFlow})
                    RC_ASSERT(idsOf(next->chainFor(hash, kind))
                              == idsOf(rebuilt.chainFor(hash, kind)));
            }
            table = std::move(next);
        }
    });
}

TEST(ServiceTable, NewInstanceKeepsTheOrderOfTheOthers)
{
    std::vector<Model::Instance> instances;
    for (std::size_t number = 0; number < 9; ++number)
        instances.push_back(instanceNamed(number));
    const ServiceTable before(orderDesk(), instances);
    instances.push_back(instanceNamed(9));
    const Model::InstanceId added = Model::instanceId("agent-9");
    const ServiceTable after(before, instances);
    for (std::uint64_t hash = 0; hash < BucketCount; ++hash) {
        auto now = idsOf(after.chainFor(hash, PacketKind::ContinuesFlow));
        const auto then = idsOf(before.chainFor(hash, PacketKind::ContinuesFlow));
        std::erase(now, added);
        CHECK_TRUE(std::equal(now.begin(), now.end(), then.begin()));
    }
}

TEST(ServiceTable, FirstRanksFollowCapacity)
{
    const ServiceTable table(orderDesk(), {instanceNamed(0, 1.0), instanceNamed(1, 3.0)});
    std::size_t stronger = 0;
    for (std::uint64_t hash = 0; hash < BucketCount; ++hash)
        stronger += table.chainFor(hash, PacketKind::ContinuesFlow)[0].instance
                    == Model::instanceId("agent-1");
    // The expected share is 3/4; the bounds are about four standard deviations of BucketCount
    // draws.
    CHECK_TRUE(stronger > BucketCount * 72 / 100 && stronger < BucketCount * 78 / 100);
}

TEST(ServiceTable, NewFlowsSkipDrainingInstancesEvenIfAllRankedOnesDrain)
{
    std::vector<Model::Instance> instances;
    for (std::size_t number = 0; number < 8; ++number) {
        instances.push_back(instanceNamed(number));
        if (number > 0)
            instances.back().state = Model::InstanceState::Draining;
    }
    const ServiceTable table(orderDesk(), instances);
    for (std::uint64_t hash = 0; hash < BucketCount; ++hash) {
        const Chain chain = table.chainFor(hash, PacketKind::OpensFlow);
        CHECK_EQUAL(1u, chain.size());
        CHECK_TRUE(chain[0].instance == Model::instanceId("agent-0"));
    }
}

TEST(ServiceTable, PacketsOfOpenFlowsTrySuspectInstancesLast)
{
    std::vector<Model::Instance> instances;
    for (std::size_t number = 0; number < 12; ++number) {
        instances.push_back(instanceNamed(number));
        if (number % 3 == 0)
            instances.back().state = Model::InstanceState::Suspect;
    }
    const ServiceTable table(orderDesk(), instances);
    for (std::uint64_t hash = 0; hash < BucketCount; ++hash) {
        bool sawSuspect = false;
        std::size_t live = 0;
        for (const Hop &hop : table.chainFor(hash, PacketKind::ContinuesFlow)) {
            const bool isSuspect = (hop.tunnel.port - 1000) % 3 == 0;
            CHECK_FALSE(sawSuspect && !isSuspect);
            sawSuspect |= isSuspect;
            live += isSuspect ? 0 : 1;
        }
        CHECK_TRUE(live >= 2);
    }
}

/// The instances that a search visits have different tables while some join and leave. Those that
/// are in all tables must be visited all the same.
TEST(ServiceTable, SearchAcrossDifferentTablesSkipsNoCommonInstance)
{
    checkProperty("a search across tables that differ visits each common instance", [] {
        const auto common = *rc::gen::inRange<std::size_t>(1, 20);
        const auto hash = *rc::gen::arbitrary<std::uint64_t>();
        std::set<Model::InstanceId> missing;
        for (std::size_t number = 0; number < common; ++number)
            missing.insert(Model::instanceId(instanceNamed(number).name));
        Chain tried;
        SearchPosition position;
        for (int visit = 0; visit < 100; ++visit) {
            std::vector<Model::Instance> instances;
            for (std::size_t number = 0; number < common; ++number)
                instances.push_back(instanceNamed(number));
            for (std::size_t number = common; number < common + 6; ++number) {
                ++generatedSteps;
                if (*rc::gen::arbitrary<bool>())
                    instances.push_back(instanceNamed(number));
            }
            const ServiceTable table(orderDesk(), std::move(instances));
            const auto [chain, next] = table.chainAfter(hash, tried, position, true);
            if (chain.isEmpty())
                break;
            for (const Model::InstanceId visited : idsOf(chain))
                missing.erase(visited);
            tried = chain;
            position = next;
        }
        RC_ASSERT(missing.empty());
    });
}

TEST(ServiceTable, SearchVisitsSuspectInstancesLast)
{
    std::vector<Model::Instance> instances;
    for (std::size_t number = 0; number < 10; ++number) {
        instances.push_back(instanceNamed(number));
        if (number < 3)
            instances.back().state = Model::InstanceState::Suspect;
    }
    const ServiceTable table(orderDesk(), instances);
    std::vector<Model::InstanceId> visited;
    Chain tried;
    SearchPosition position;
    for (bool isDone = false; !isDone;) {
        const auto [chain, next] = table.chainAfter(7, tried, position, true);
        for (const Model::InstanceId id : idsOf(chain))
            visited.push_back(id);
        isDone = chain.isEmpty();
        tried = chain;
        position = next;
    }
    LONGS_EQUAL(10, visited.size());
    for (std::size_t index = 0; index < visited.size(); ++index)
        CHECK_TRUE(table.isRunning(visited[index]) == (index < 7));
}
