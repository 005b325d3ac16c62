#include "membership/directory.h"

#include "property.h"

using namespace Membership;
using namespace std::chrono_literals;

static const DirectoryPolicy::TimePoint start = DirectoryPolicy::TimePoint() + 100s;

TEST_GROUP(Directory){};

TEST(Directory, NamesTheTunnelsOfItsMembers)
{
    Tunnel::Member member;
    member.instance.name = "side-1";
    member.instance.tunnel = {0x0a000001, 7000};
    const auto tunnels = decodeDirectory(encodeDirectory({member}));
    LONGS_EQUAL(1, tunnels.size());
    CHECK_TRUE(tunnels[0] == member.instance.tunnel);
    for (const char *damaged : {"", "7", "{\"tunnels\":7}", "{\"tunnels\":{\"a\":7,\"b\":\"x\"}}"})
        LONGS_EQUAL(0, decodeDirectory(damaged).size());
}

TEST(Directory, IsReadFirstAndWrittenByOneWhenItSettled)
{
    DirectoryPolicy policy;
    CHECK_TRUE(policy.next(start, true, "a") == DirectoryStep::Read);
    policy.onRead(std::nullopt);
    CHECK_TRUE(policy.next(start, true, "a") == DirectoryStep::Wait);
    CHECK_TRUE(policy.next(start + DirectoryDebounceInterval, false, "a") == DirectoryStep::Wait);
    CHECK_TRUE(policy.next(start + DirectoryDebounceInterval, true, "a") == DirectoryStep::Write);
    policy.onWritten("a");
    CHECK_TRUE(policy.next(start + 9s, true, "a") == DirectoryStep::Wait);
    CHECK_TRUE(policy.next(start + 9s, true, "b") == DirectoryStep::Wait);
    CHECK_TRUE(policy.next(start + 9s + DirectoryDebounceInterval, true, "b") == DirectoryStep::Write);
}

TEST(Directory, AFailureIsFollowedByARestAndAnotherLook)
{
    DirectoryPolicy policy;
    policy.next(start, true, "a");
    policy.onRead("x");
    policy.onFailed(start + 2s);
    CHECK_TRUE(policy.next(start + 2s, true, "a") == DirectoryStep::Wait);
    CHECK_TRUE(policy.next(start + 2s + DirectoryRetryDelay, true, "a") == DirectoryStep::Read);
    // Another balancer wrote the same meanwhile: nothing is left to do.
    policy.onRead("a");
    CHECK_TRUE(policy.next(start + 9s, true, "a") == DirectoryStep::Wait);
}
