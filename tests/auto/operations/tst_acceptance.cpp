#include "operations/acceptance.h"

#include "property.h"

#include <map>

using namespace Operations;
using Store::Failure;
using Store::FailureKind;

namespace {

Model::Configuration candidateOf(int number)
{
    Model::Configuration configuration;
    configuration.deployment = "test-" + std::to_string(number);
    configuration.failureDomains = {"a"};
    Model::Service service;
    service.name = "order-desk";
    service.address = {0x0a280001, 80};
    service.deadline = std::chrono::milliseconds(1000 + number);
    service.slotsPerServer = 3;
    service.connectionsPerServer = 10;
    configuration.services = {service};
    return configuration;
}

/// A fake platform store. Calls and responses can be lost, reads can be stale, and other operators
/// can write in between.
class FakePlatform
{
public:
    boost::leaf::result<Store::Object> read(const std::string &key)
    {
        writeConcurrently();
        if (readsFail_)
            return boost::leaf::new_error(Failure{FailureKind::OutcomeUnknown});
        const std::size_t age = history_.empty() ? 0 : std::min(staleness_, history_.size());
        if (history_.size() == age)
            return boost::leaf::new_error(Failure{FailureKind::NotFound});
        const std::size_t position = history_.size() - 1 - age;
        return Store::Object{key, Store::Version(position + 1), history_[position]};
    }

    boost::leaf::result<Store::Version> write(const std::string &, const std::string &value,
                                              Store::Precondition precondition)
    {
        writeConcurrently();
        if (writesFail_)
            return boost::leaf::new_error(Failure{FailureKind::Unreachable});
        if (Store::versionBefore(precondition) != Store::Version(history_.size()))
            return boost::leaf::new_error(Failure{FailureKind::Conflict});
        if (losesWrite_)
            return boost::leaf::new_error(Failure{FailureKind::OutcomeUnknown});
        history_.push_back(value);
        if (losesAnswer_)
            return boost::leaf::new_error(Failure{FailureKind::OutcomeUnknown});
        if (isRestored_)
            return boost::leaf::new_error(Failure{FailureKind::OtherTimeline});
        return Store::Version(history_.size());
    }

    boost::leaf::result<Store::Listing> list(const std::string &) { return Store::Listing{}; }
    boost::leaf::result<Store::Version> remove(const std::string &, Store::Version version)
    {
        return version;
    }
    boost::leaf::result<Store::Changes> watch(const std::string &, Store::Revision,
                                              std::chrono::milliseconds)
    {
        return Store::Changes{};
    }
    Store::Timeline timeline() const { return timeline_; }

    void writeConcurrently()
    {
        if (concurrentWrites_ == 0)
            return;
        --concurrentWrites_;
        const int generation = int(history_.size()) + 1;
        Model::Configuration other = candidateOf(1000 + generation);
        other.generation = Model::Generation(generation);
        if (!history_.empty())
            other.recentChanges =
                configurationOf({"configuration", {}, history_.back()})->recentChanges;
        other.recentChanges.insert(other.recentChanges.begin(),
                                   "other-" + std::to_string(generation));
        history_.push_back(Configuration::encodeConfiguration(other).dump());
    }

    Store::Timeline timeline_{};
    std::vector<std::string> history_;
    std::size_t staleness_ = 0;
    std::size_t concurrentWrites_ = 0;
    bool losesWrite_ = false; ///< before it reaches the platform
    bool losesAnswer_ = false;
    bool isRestored_ = false; ///< between the read and the write; the write takes effect
    bool readsFail_ = false;
    bool writesFail_ = false;
};

static_assert(Store::ObjectClient<FakePlatform>);

bool tookEffect(const FakePlatform &platform, const std::string &changeId)
{
    for (const std::string &value : platform.history_) {
        const auto configuration = configurationOf({"configuration", {}, value});
        if (configuration->recentChanges.front() == changeId)
            return true;
    }
    return false;
}

} // namespace

TEST_GROUP(AcceptConfiguration){};

TEST(AcceptConfiguration, ReturnedOutcomeIsCorrect)
{
    checkProperty("the returned outcome is correct, and generations are consecutive", [] {
        FakePlatform platform;
        const auto count = *rc::gen::inRange(1, 25);
        for (int number = 0; number < count; ++number) {
            ++generatedSteps;
            platform.losesAnswer_ = *rc::gen::inRange(0, 3) == 0;
            platform.losesWrite_ = *rc::gen::inRange(0, 4) == 0;
            platform.readsFail_ = false;
            platform.writesFail_ = *rc::gen::inRange(0, 8) == 0;
            platform.staleness_ = *rc::gen::inRange(0, 5) == 0 ? 1 : 0;
            platform.concurrentWrites_ = *rc::gen::inRange(0, 4) == 0 ? 1 : 0;
            const int recovery = *rc::gen::inRange(0, Store::MaxReadBacks + 2);
            const std::string changeId = "change-" + std::to_string(number);
            const auto result = acceptConfiguration(
                platform, candidateOf(number), std::nullopt, changeId, [&](int readBack) {
                    platform.readsFail_ = readBack < recovery;
                    platform.staleness_ = std::size_t(readBack + number) % 2;
                    platform.concurrentWrites_ = readBack == number % 4 ? 1 : 0;
                });
            platform.readsFail_ = false;
            if (result.outcome == AcceptanceOutcome::InForce)
                RC_ASSERT(tookEffect(platform, changeId));
            else if (result.outcome != AcceptanceOutcome::Unknown)
                RC_ASSERT(!tookEffect(platform, changeId));
        }
        for (std::size_t index = 0; index < platform.history_.size(); ++index) {
            const auto configuration =
                configurationOf({"configuration", {}, platform.history_[index]});
            RC_ASSERT(configuration->generation == Model::Generation(index + 1));
        }
    });
}

TEST(AcceptConfiguration, OutdatedExpectedGenerationIsAConflict)
{
    FakePlatform platform;
    acceptConfiguration(platform, candidateOf(1), std::nullopt, "a", [](int) {});
    const auto result =
        acceptConfiguration(platform, candidateOf(2), Model::Generation(0), "b", [](int) {});
    CHECK_TRUE(result.outcome == AcceptanceOutcome::Conflict);
    CHECK_EQUAL(1u, platform.history_.size());
}

TEST(AcceptConfiguration, GenerationAfterARestoreIsGreaterThanAllLostOnes)
{
    FakePlatform platform;
    for (int number = 1; number <= 3; ++number)
        acceptConfiguration(platform, candidateOf(number), std::nullopt, std::to_string(number),
                            [](int) {});
    const auto lost = configurationOf({"configuration", {}, platform.history_.back()});
    platform.history_.resize(1);
    platform.timeline_ = Store::Timeline(1);
    const auto result =
        acceptConfiguration(platform, candidateOf(4), std::nullopt, "4", [](int) {});
    CHECK_TRUE(result.outcome == AcceptanceOutcome::InForce);
    CHECK_TRUE(result.generation > lost->generation);
    platform.history_.clear();
    platform.timeline_ = Store::Timeline(2);
    const auto next = acceptConfiguration(platform, candidateOf(5), std::nullopt, "5", [](int) {});
    CHECK_TRUE(next.generation > result.generation);
}

TEST(AcceptConfiguration, WriteOnAnotherTimelineIsNotReportedAsNotWritten)
{
    FakePlatform platform;
    acceptConfiguration(platform, candidateOf(1), std::nullopt, "a", [](int) {});
    platform.isRestored_ = true;
    const auto result =
        acceptConfiguration(platform, candidateOf(2), std::nullopt, "b", [](int) {});
    CHECK_TRUE(result.outcome == AcceptanceOutcome::InForce);
    CHECK_TRUE(tookEffect(platform, "b"));
}
