#include "membership/announcement.h"
#include "membership/instanceregistry.h"

#include "property.h"

#include <map>

using namespace Membership;

namespace {

/// A platform's history of announcements, and a registry that hears of it late and out of order.
class Checked
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
            truth_[name] = instance;
        } else {
            truth_.erase(name);
        }
        history_.push_back(change);
    }

    void hear(std::size_t index)
    {
        if (history_.empty())
            return;
        const Store::Change &change = history_[index % history_.size()];
        const auto before = registry_.versionOf(nameOf(change));
        registry_.apply(change);
        RC_ASSERT(registry_.versionOf(nameOf(change)) >= before);
        RC_ASSERT(registry_.versionOf(nameOf(change)) >= change.version);
    }

    /// A listing as of some earlier revision, as a stale read gives it.
    void hearListing(std::size_t index)
    {
        const std::size_t revision = revision_ == 0 ? 0 : index % (revision_ + 1);
        std::map<std::string, Store::Change> latest;
        for (const Store::Change &change : history_) {
            if (std::size_t(change.version) <= revision)
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

    void settle()
    {
        hearListing(revision_);
        std::vector<Model::Instance> expected;
        for (const auto &[name, instance] : truth_)
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
    std::map<std::string, Model::Instance> truth_;
    InstanceRegistry registry_;
};

class RegistryStep : public Step<Checked>
{
public:
    void apply(Checked &checked) const override
    {
        switch (kind_) {
        case 0:
        case 1:
            return checked.write(first_, first_ % 7 == 0);
        case 2:
        case 3:
            return checked.hear(first_);
        case 4:
            return checked.hearListing(first_);
        default:
            return checked.settle();
        }
    }

    void show(std::ostream &stream) const override { stream << "step " << kind_ << ' ' << first_; }

private:
    const int kind_ = *rc::gen::inRange(0, 6);
    const std::size_t first_ = *rc::gen::inRange<std::size_t>(0, 1000);
};

} // namespace

TEST_GROUP(InstanceRegistry){};

TEST(InstanceRegistry, StaleNewsChangeNothing)
{
    checkProperty("a registry ends at the platform's state, whatever came late", [] {
        Checked checked;
        rc::state::check(NoModel(), checked, rc::state::gen::execOneOfWithArgs<RegistryStep>());
        checked.settle();
    });
}

TEST(InstanceRegistry, MalformedAnnouncementKeepsTheInstance)
{
    Model::Instance instance;
    instance.name = "agent-1";
    instance.service = "order-desk";
    instance.failureDomain = "harbour";
    instance.tunnel = {0x7f000001, 1};
    instance.peer = {0x7f000001, 2};
    InstanceRegistry registry;
    registry.apply(
        Store::Change{instanceKey("agent-1"), Store::Version(1), encodeAnnouncement(instance)});
    registry.apply(Store::Change{instanceKey("agent-1"), Store::Version(2), "{\"x\": 1}"});
    CHECK_TRUE(registry.find("agent-1") == instance);
    CHECK_EQUAL(1u, registry.malformedCount());
}
