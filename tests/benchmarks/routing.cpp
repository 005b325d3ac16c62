#include "measures.h"

#include "routing/routingtable.h"

#include <benchmark/benchmark.h>

#include <chrono>

namespace Measures {

using Clock = std::chrono::steady_clock;

static constexpr std::size_t Picks = 2'000'000;

static Model::Service serviceNumbered(std::size_t number)
{
    Model::Service service;
    service.name = "service-" + std::to_string(number);
    service.address = {std::uint32_t(0x0a000000 + number), 80};
    return service;
}

static std::vector<Model::Instance> instancesOf(std::size_t service, std::size_t count)
{
    std::vector<Model::Instance> instances;
    for (std::size_t index = 0; index < count; ++index) {
        Model::Instance instance;
        instance.name = std::to_string(service) + "-" + std::to_string(index);
        instance.service = serviceNumbered(service).name;
        instance.failureDomain = "domain-" + std::to_string(index % 11);
        instance.tunnel = {std::uint32_t(0x0b000000 + service * 64 + index), 4000};
        instance.capacity = 1.0 + double(index % 3);
        instances.push_back(instance);
    }
    return instances;
}

static double pickNanoseconds(std::size_t instances)
{
    const Routing::ServiceTable table(serviceNumbered(0), instancesOf(0, instances));
    std::uint64_t hash = 1;
    const auto start = Clock::now();
    for (std::size_t pick = 0; pick < Picks; ++pick) {
        hash = hash * 6364136223846793005ULL + 1442695040888963407ULL;
        benchmark::DoNotOptimize(table.chainFor(hash >> 20, Routing::PacketKind::ContinuesFlow));
    }
    return std::chrono::duration<double, std::nano>(Clock::now() - start).count() / double(Picks);
}

/// Builds a routing table with \a services services and \a instances instances in total. Returns
/// its size in MB and the times to build it and to apply one change, in ms.
static nlohmann::json measureTable(std::size_t services, std::size_t instances)
{
    Model::Configuration configuration;
    std::vector<Model::Instance> all;
    for (std::size_t service = 0; service < services; ++service) {
        configuration.services.push_back(serviceNumbered(service));
        const std::size_t count =
            instances * (service + 1) / services - instances * service / services;
        for (Model::Instance &instance : instancesOf(service, count))
            all.push_back(std::move(instance));
    }
    const auto buildStart = Clock::now();
    auto table = Routing::RoutingTable::build(configuration, all, {}, 1);
    const std::chrono::duration<double, std::milli> build = Clock::now() - buildStart;

    static constexpr int Changes = 20;
    const auto changeStart = Clock::now();
    for (int change = 0; change < Changes; ++change) {
        Model::Instance &changed = all[std::size_t(change) * 7 % all.size()];
        changed.state =
            change % 2 == 0 ? Model::InstanceState::Draining : Model::InstanceState::Ready;
        table = Routing::RoutingTable::build(configuration, all, *table, std::uint64_t(change));
    }
    const std::chrono::duration<double, std::milli> changes = Clock::now() - changeStart;

    // A step of a search for a flow's owner, while any service may own it.
    static constexpr int Steps = 1000;
    const auto stepStart = Clock::now();
    for (int step = 0; step < Steps; ++step) {
        const auto owners =
            table->possibleOwners(configuration.services[0].address,
                                  std::uint64_t(step) * 0x9e3779b97f4a7c15ULL, nullptr);
        benchmark::DoNotOptimize(owners.data());
    }
    const std::chrono::duration<double, std::micro> steps = Clock::now() - stepStart;
    return {{"services", services},
            {"instances", instances},
            {"megabytes", double(table->memoryBytes()) / 1e6},
            {"buildMs", build.count()},
            {"changeMs", changes.count() / Changes},
            {"searchStepMicroseconds", steps.count() / Steps}};
}

nlohmann::json measureRouting()
{
    nlohmann::json sizes = nlohmann::json::array();
    sizes.push_back(measureTable(40, 520));
    sizes.push_back(measureTable(160, 2080));
    sizes.push_back(measureTable(320, 4150));
    sizes.push_back(measureTable(640, 8300));
    return {{"pickNanoseconds13", pickNanoseconds(13)},
            {"pickNanoseconds1000", pickNanoseconds(1000)},
            {"balancerTableMegabytes", sizes.back()["megabytes"]},
            {"tableChangeMs", sizes.back()["changeMs"]},
            {"tableSizes", sizes}};
}

} // namespace Measures
