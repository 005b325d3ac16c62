#include "membership/directory.h"

#include "property.h"

using namespace Membership;
using namespace std::chrono_literals;

static const DirectoryPolicy::TimePoint start = DirectoryPolicy::TimePoint() + 100s;

constexpr Store::Timeline first{1};
constexpr Store::Timeline second{2};

TEST_GROUP(Directory){};

TEST(Directory, DecodesMembersAndRejectsMalformedInput)
{
    Tunnel::Member member;
    member.instance.name = "side-1";
    member.instance.tunnel = {0x0a000001, 7000};
    member.instance.service = "order-desk";
    member.instance.incarnation = Model::Incarnation(7);
    Tunnel::Member balancer;
    balancer.instance.name = "front-1";
    balancer.instance.tunnel = {0x0a000002, 7000};
    const auto [timeline, members] =
        decodeDirectory(encodeDirectory({member, balancer}, Store::Timeline(3)));
    CHECK_TRUE(timeline == Store::Timeline(3));
    LONGS_EQUAL(2, members.size());
    STRCMP_EQUAL("front-1", members[0].name.c_str());
    STRCMP_EQUAL("", members[0].service.c_str());
    CHECK_TRUE(members[1].tunnel == member.instance.tunnel);
    STRCMP_EQUAL("order-desk", members[1].service.c_str());
    CHECK_TRUE(members[1].incarnation == Model::Incarnation(7));
    for (const char *malformed :
         {"", "7", "{\"members\":7}", "{\"members\":{\"a\":7,\"b\":[\"x\",\"\",1]}}",
          "{\"members\":{\"a\":[\"10.0.0.1:7000\",\"\",-1]}}",
          "{\"tunnels\":{\"a\":\"10.0.0.1:7000\"}}"})
        LONGS_EQUAL(0, decodeDirectory(malformed).members.size());
}

TEST(Directory, EncodesNamesThatAreNoUtf8)
{
    Tunnel::Member member;
    member.instance.name = "side-\xff";
    member.instance.service = "\xc3";
    member.instance.tunnel = {0x0a000001, 7000};
    LONGS_EQUAL(1, decodeDirectory(encodeDirectory({member}, {})).members.size());
}

TEST(Directory, IsWrittenOncePerDelayWhileMembersKeepChanging)
{
    DirectoryPolicy policy;
    policy.next(start, true, "0", first);
    policy.onRead(std::nullopt, first);
    int writes = 0;
    for (int change = 1; change <= 50; ++change) {
        const std::string members = std::to_string(change);
        if (policy.next(start + change * 100ms, true, members, first) != DirectoryStep::Write)
            continue;
        ++writes;
        policy.onWritten(members);
    }
    LONGS_EQUAL(4, writes);
}

TEST(Directory, ReadsFirstThenOnlyResponsibleBalancerWritesAfterSettling)
{
    DirectoryPolicy policy;
    CHECK_TRUE(policy.next(start, true, "a", first) == DirectoryStep::Read);
    policy.onRead(std::nullopt, first);
    CHECK_TRUE(policy.next(start, true, "a", first) == DirectoryStep::Wait);
    CHECK_TRUE(policy.next(start + DirectoryWriteDelay, false, "a", first) == DirectoryStep::Wait);
    CHECK_TRUE(policy.next(start + DirectoryWriteDelay, true, "a", first) == DirectoryStep::Write);
    policy.onWritten("a");
    CHECK_TRUE(policy.next(start + 9s, true, "a", first) == DirectoryStep::Wait);
    CHECK_TRUE(policy.next(start + 9s, true, "b", first) == DirectoryStep::Wait);
    CHECK_TRUE(policy.next(start + 9s + DirectoryWriteDelay, true, "b", first)
               == DirectoryStep::Write);
}

TEST(Directory, ReadsAgainAfterAFailureAndADelay)
{
    DirectoryPolicy policy;
    policy.next(start, true, "a", first);
    policy.onRead("x", first);
    policy.onFailed(start + 2s);
    CHECK_TRUE(policy.next(start + 2s, true, "a", first) == DirectoryStep::Wait);
    CHECK_TRUE(policy.next(start + 2s + DirectoryRetryDelay, true, "a", first)
               == DirectoryStep::Read);
    // Another balancer wrote the same value in the meantime, so nothing is left to write.
    policy.onRead("a", first);
    CHECK_TRUE(policy.next(start + 9s, true, "a", first) == DirectoryStep::Wait);
}

TEST(Directory, IsWrittenAgainWithoutDelayAfterTheStoreWasRestored)
{
    DirectoryPolicy policy;
    policy.next(start, true, "a", first);
    policy.onRead("a", first);
    CHECK_TRUE(policy.next(start + 9s, true, "a", first) == DirectoryStep::Wait);
    // The encoded directory names the timeline, so it differs on the new one.
    CHECK_TRUE(policy.next(start + 9s, false, "b", second) == DirectoryStep::Wait);
    CHECK_TRUE(policy.next(start + 9s, true, "b", second) == DirectoryStep::Read);
    policy.onRead(std::nullopt, second);
    CHECK_TRUE(policy.next(start + 9s, true, "b", second) == DirectoryStep::Write);
    policy.onWritten("b");
    CHECK_TRUE(policy.next(start + 10s, true, "c", second) == DirectoryStep::Wait);
}

TEST(Directory, OnlyTheResponsibleBalancerReadsWhenTheSystemStartsForTheFirstTime)
{
    DirectoryPolicy policy(true);
    CHECK_TRUE(policy.next(start, true, "a", first) == DirectoryStep::Wait);
    CHECK_TRUE(policy.next(start + 9s, false, "a", first) == DirectoryStep::Wait);
    CHECK_TRUE(policy.next(start + 9s, true, "a", first) == DirectoryStep::Read);
    policy.onRead(std::nullopt, first);
    CHECK_TRUE(policy.next(start + 9s, true, "a", first) == DirectoryStep::Write);
}
