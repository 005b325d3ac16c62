#include "membership/announcement.h"
#include "membership/instanceregistry.h"

#include "property.h"

#include <map>

using namespace Membership;

namespace {

/// A simulated history of announcements on the platform, and a registry to which they are applied
/// late, repeatedly and out of order.
class RegistryFixture
{
public:
    void write(std::size_t index, bool isDeletion)
    {
        const std::string name = "agent-" + std::to_string(index % 5);
        Store::Change change{instanceKey(name), Store::Version(++revision_), std::nullopt};
        if (!isDeletion) {
            Model::Instance instance;
            instance.name = name;
            instance.service = "order-desk";
            instance.failureDomain = "harbour";
            instance.tunnel = {0x7f000001, 1};
            instance.peer = {0x7f000001, 2};
            instance.incarnation = Model::Incarnation(revision_);
            change.value = encodeAnnouncement(instance);
            expected_[name] = instance;
        } else {
            expected_.erase(name);
        }
        history_.push_back(change);
    }

    void applyChange(std::size_t index)
    {
        if (history_.empty())
            return;
        const Store::Change &change = history_[index % history_.size()];
        const auto before = registry_.versionOf(nameOf(change));
        registry_.apply(change);
        RC_ASSERT(registry_.versionOf(nameOf(change)) >= before);
        RC_ASSERT(registry_.versionOf(nameOf(change)) >= change.version);
    }

    /// Applies a listing as of some earlier revision, like the result of a stale read.
    void applyListing(std::size_t index)
    {
        const std::size_t revision = revision_ == 0 ? 0 : index % (revision_ + 1);
        std::map<std::string, Store::Change> latest;
        for (const Store::Change &change : history_) {
            if (change.version.number() <= revision)
                latest[change.key] = change;
        }
        Store::Listing listing;
        listing.revision = Store::Revision(revision);
        for (const auto &[key, change] : latest) {
            if (change.value)
                listing.objects.push_back({key, change.version, *change.value});
        }
        registry_.apply(listing);
    }

    /// Applies a current listing and checks that the registry equals the platform's state.
    void checkFinalState()
    {
        applyListing(revision_);
        std::vector<Model::Instance> expected;
        for (const auto &[name, instance] : expected_)
            expected.push_back(instance);
        RC_ASSERT(registry_.instances() == expected);
    }

private:
    static std::string nameOf(const Store::Change &change)
    {
        return change.key.substr(InstancePrefix.size());
    }

    std::size_t revision_ = 0;
    std::vector<Store::Change> history_;
    std::map<std::string, Model::Instance> expected_;
    InstanceRegistry registry_;
};

class RegistryStep : public Step<RegistryFixture>
{
public:
    void apply(RegistryFixture &fixture) const override
    {
        switch (kind_) {
        case 0:
        case 1:
            return fixture.write(first_, first_ % 7 == 0);
        case 2:
        case 3:
            return fixture.applyChange(first_);
        case 4:
            return fixture.applyListing(first_);
        default:
            return fixture.checkFinalState();
        }
    }

    void show(std::ostream &stream) const override { stream << "step " << kind_ << ' ' << first_; }

private:
    const int kind_ = *rc::gen::inRange(0, 6);
    const std::size_t first_ = *rc::gen::inRange<std::size_t>(0, 1000);
};

} // namespace

TEST_GROUP(InstanceRegistry){};

TEST(InstanceRegistry, StaleUpdatesChangeNothing)
{
    checkProperty("a registry ends in the platform's state despite stale and reordered input", [] {
        RegistryFixture fixture;
        rc::state::check(NoModel(), fixture, rc::state::gen::execOneOfWithArgs<RegistryStep>());
        fixture.checkFinalState();
    });
}

static Model::Instance announcedInstance()
{
    Model::Instance instance;
    instance.name = "agent-1";
    instance.service = "order-desk";
    instance.failureDomain = "harbour";
    instance.tunnel = {0x7f000001, 1};
    instance.peer = {0x7f000001, 2};
    return instance;
}

TEST(InstanceRegistry, MalformedAnnouncementKeepsTheInstance)
{
    const Model::Instance instance = announcedInstance();
    InstanceRegistry registry;
    registry.apply(
        Store::Change{instanceKey("agent-1"), Store::Version(1), encodeAnnouncement(instance)});
    registry.apply(Store::Change{instanceKey("agent-1"), Store::Version(2), "{\"x\": 1}"});
    CHECK_TRUE(registry.find("agent-1") == instance);
    CHECK_EQUAL(1u, registry.malformedCount());
}

TEST(InstanceRegistry, InstanceRemainsWhileItAnnouncesItselfAgainAfterARestore)
{
    using namespace std::chrono_literals;
    const InstanceRegistry::TimePoint now{1h};
    constexpr Store::Timeline first{1};
    constexpr Store::Timeline second{2};
    const Model::Instance instance = announcedInstance();
    const std::string key = instanceKey("agent-1");
    InstanceRegistry registry;
    registry.apply(Store::Change{key, Store::Version(90, first), encodeAnnouncement(instance)});
    CHECK_TRUE(registry.apply(Store::Listing{Store::Revision(40, second), {}}));
    // The instance's own process learns that its announcement is gone.
    CHECK_FALSE(registry.find("agent-1").has_value());
    CHECK_TRUE(registry.versionOf("agent-1") == Store::Version(40, second));
    CHECK_FALSE(registry.expireMissing(now));
    LONGS_EQUAL(1, registry.instances().size());
    registry.apply(Store::Change{key, Store::Version(41, second), encodeAnnouncement(instance)});
    CHECK_TRUE(registry.find("agent-1").has_value());
    CHECK_FALSE(registry.expireMissing(now + MissingLifetime));

    registry.apply(Store::Listing{Store::Revision(30, Store::Timeline(3)), {}});
    registry.expireMissing(now);
    LONGS_EQUAL(1, registry.instances().size());
    CHECK_TRUE(registry.expireMissing(now + MissingLifetime));
    LONGS_EQUAL(0, registry.instances().size());
}
