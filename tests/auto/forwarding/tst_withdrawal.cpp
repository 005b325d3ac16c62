#include "forwarding/withdrawal.h"

#include "property.h"

using namespace Forwarding;
using namespace std::chrono_literals;

static const Withdrawal::TimePoint start = Withdrawal::TimePoint() + 100s;

TEST_GROUP(Withdrawal){};

TEST(Withdrawal, EndsAfterMinWithdrawalTimeWithoutPackets)
{
    Withdrawal withdrawal(start, 7);
    CHECK_FALSE(withdrawal.isComplete(start + MinWithdrawalTime - 1ms, 7));
    CHECK_TRUE(withdrawal.isComplete(start + MinWithdrawalTime, 7));
}

TEST(Withdrawal, ContinuesWhilePacketsArriveUntilTheLimit)
{
    Withdrawal withdrawal(start, 7);
    std::uint64_t received = 7;
    for (auto time = 0ms; time < MaxWithdrawalTime; time += 100ms)
        CHECK_FALSE(withdrawal.isComplete(start + time, ++received));
    CHECK_TRUE(withdrawal.isComplete(start + MaxWithdrawalTime, ++received));
}

TEST(Withdrawal, EndsAfterQuietPeriod)
{
    Withdrawal withdrawal(start, 7);
    CHECK_FALSE(withdrawal.isComplete(start + 2000ms, 8));
    CHECK_FALSE(withdrawal.isComplete(start + 2000ms + QuietPeriod - 1ms, 8));
    CHECK_TRUE(withdrawal.isComplete(start + 2000ms + QuietPeriod, 8));
}
