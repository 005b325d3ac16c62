#include "control/watchpolicy.h"

#include "property.h"

using namespace Control;
using Store::FailureKind;
using Store::Revision;

TEST_GROUP(WatchPolicy){};

TEST(WatchPolicy, ListsThenWatches)
{
    WatchPolicy policy(0, 1);
    CHECK_TRUE(std::holds_alternative<ListPlatform>(policy.next()));
    policy.onListed(Revision(7));
    CHECK_TRUE(std::get<WatchPlatform>(policy.next()).after == Revision(7));
    policy.onWatched(Revision(9));
    CHECK_TRUE(std::get<WatchPlatform>(policy.next()).after == Revision(9));
}

TEST(WatchPolicy, ListsAgainWhenTheRevisionDecreases)
{
    WatchPolicy policy(0, 1);
    policy.next();
    policy.onListed(Revision(7));
    policy.onWatched(Revision(3));
    CHECK_TRUE(std::holds_alternative<ListPlatform>(policy.next()));
}

TEST(WatchPolicy, MakesAtMostOneCallPerSecondDuringAnOutage)
{
    checkProperty("a process makes at most one call a second to a platform that is down", [] {
        WatchPolicy policy(2, *rc::gen::arbitrary<std::uint64_t>());
        const auto duration = std::chrono::minutes(2);
        std::chrono::milliseconds elapsed{0};
        std::uint64_t calls = 0;
        while (elapsed < duration) {
            ++generatedSteps;
            const WatchStep step = policy.next();
            if (const auto *pause = std::get_if<WaitFor>(&step)) {
                elapsed += pause->duration;
            } else if (!std::holds_alternative<FetchPeerSnapshot>(step)) {
                ++calls;
                policy.onFailed(FailureKind::Unreachable);
            }
        }
        RC_ASSERT(calls <= std::uint64_t(std::chrono::seconds(duration).count()));
    });
}
