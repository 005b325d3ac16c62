#include "control/clusterview.h"

#include "membership/announcement.h"

#include "property.h"

using namespace Control;

static Store::Object configurationObject(std::uint64_t generation, std::uint64_t version)
{
    const std::string value = R"({"generation": )" + std::to_string(generation) + R"(,
        "recentChanges": [], "answers": {"deployment": "test", "failureDomains": ["a"],
        "services": [{"name": "order-desk", "address": "10.40.0.1:80", "answerWithinMs": )"
                              + std::to_string(1000 + generation) + R"(, "slotsPerServer": 3,
        "connectionsPerServer": 10, "longWorkPaths": [], "feedPaths": []}]}})";
    return {std::string(Membership::ConfigurationKey), Store::Version(version), value};
}

TEST_GROUP(ClusterView){};

TEST(ClusterView, GenerationInForceNeverReverts)
{
    checkProperty("the generation never decreases, whatever the order of inputs", [] {
        ClusterView view;
        ClusterView peer;
        std::uint64_t greatest = 0;
        const auto generations = *rc::gen::container<std::vector<std::uint64_t>>(
            15, rc::gen::inRange<std::uint64_t>(1, 30));
        for (const std::uint64_t generation : generations) {
            ++generatedSteps;
            const Store::Object object = configurationObject(generation, generation * 2);
            greatest = std::max(greatest, generation);
            if (generation % 3 == 0)
                view.apply(Store::Listing{Store::Revision(generation), {object}});
            else
                view.apply(Store::Changes{Store::Revision(generation),
                                          {{object.key, object.version, object.value}}});
            RC_ASSERT(view.table()->generation() == Model::Generation(greatest));
            const auto *const service = view.table()->findByName("order-desk");
            RC_ASSERT(service->service().deadline.count() == std::int64_t(1000 + greatest));
            // A process that starts during an outage gets the same table from a peer's snapshot.
            peer.apply(view.snapshot());
            RC_ASSERT(peer.table()->generation() == Model::Generation(greatest));
        }
    });
}

TEST(ClusterView, MalformedConfigurationLeavesTheLastValidOneInForce)
{
    ClusterView view;
    view.apply(Store::Listing{Store::Revision(1), {configurationObject(1, 1)}});
    for (const char *value : {"{}", "7", "{\"generation\": 9, \"answers\": {}}", "{\"x\""}) {
        view.apply(
            Store::Changes{Store::Revision(2), {{"configuration", Store::Version(2), value}}});
    }
    CHECK_TRUE(view.table()->generation() == Model::Generation(1));
    CHECK_EQUAL(4u, view.refusedConfigurations());
}

static Store::Change announcementOf(Model::InstanceState state, std::uint64_t version)
{
    Model::Instance instance;
    instance.name = "agent-1";
    instance.service = "order-desk";
    instance.failureDomain = "a";
    instance.tunnel = {0x7f000001, 1};
    instance.peer = {0x7f000001, 2};
    instance.incarnation = Model::Incarnation(5);
    instance.state = state;
    return {Membership::instanceKey("agent-1"), Store::Version(version),
            Membership::encodeAnnouncement(instance)};
}

static Model::InstanceState stateIn(const ClusterView &view)
{
    return view.table()->findByName("order-desk")->instances().front().state;
}

TEST(ClusterView, NoticeIsInEffectUntilANewerAnnouncementOrItsExpiry)
{
    using Model::InstanceState;
    const ClusterView::TimePoint now{std::chrono::hours(1)};
    const Tunnel::StateNotice suspect{Model::instanceId("agent-1"), Model::Incarnation(5),
                                      InstanceState::Suspect};
    ClusterView view;
    view.apply(Store::Listing{Store::Revision(1), {configurationObject(1, 1)}});
    view.apply(Store::Changes{Store::Revision(2), {announcementOf(InstanceState::Ready, 2)}});
    CHECK_TRUE(view.apply(now, suspect));
    CHECK_TRUE(stateIn(view) == InstanceState::Suspect);
    view.apply(Store::Changes{Store::Revision(3), {announcementOf(InstanceState::Ready, 3)}});
    CHECK_TRUE(stateIn(view) == InstanceState::Ready);
    view.apply(now, suspect);
    CHECK_FALSE(view.expire(now + StateNoticeLifetime / 2));
    CHECK_TRUE(view.expire(now + StateNoticeLifetime));
    CHECK_TRUE(stateIn(view) == InstanceState::Ready);
}

TEST(ClusterView, NoticeOfAnotherIncarnationIsIgnored)
{
    ClusterView view;
    view.apply(Store::Listing{Store::Revision(1), {configurationObject(1, 1)}});
    view.apply(
        Store::Changes{Store::Revision(2), {announcementOf(Model::InstanceState::Ready, 2)}});
    CHECK_FALSE(view.apply(
        {}, {Model::instanceId("agent-1"), Model::Incarnation(4), Model::InstanceState::Suspect}));
}

TEST(ClusterView, NoticeIsSupersededByAListing)
{
    using Model::InstanceState;
    const auto announced = announcementOf(InstanceState::Ready, 2);
    ClusterView view;
    view.apply(Store::Listing{
        Store::Revision(2),
        {configurationObject(1, 1), {announced.key, announced.version, *announced.value}}});
    view.apply({}, {Model::instanceId("agent-1"), Model::Incarnation(5), InstanceState::Suspect});
    CHECK_TRUE(stateIn(view) == InstanceState::Suspect);
    view.apply(
        Store::Listing{Store::Revision(3), {{announced.key, Store::Version(3), *announced.value}}});
    CHECK_TRUE(stateIn(view) == InstanceState::Ready);
}
