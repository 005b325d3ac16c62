#include "placement/loadmeter.h"

#include "property.h"

using namespace Placement;
using namespace std::chrono_literals;

static const LoadMeter::TimePoint start = LoadMeter::TimePoint() + 100s;

static Model::FlowKey flow(std::uint16_t port)
{
    return {{0x64400007, port}, {0xc6120001, 443}};
}

TEST_GROUP(LoadMeter){};

TEST(LoadMeter, MeasuresFromLastRequestBytesToAnswer)
{
    LoadMeter meter;
    meter.onRequestBytes(start, flow(1));
    LONGS_EQUAL(1, meter.waiting(start + 5ms));
    meter.onRequestBytes(start + 10ms, flow(1));
    const auto taken = meter.onAnswerBytes(start + 30ms, flow(1));
    LONGS_EQUAL(20000, taken->count());
    LONGS_EQUAL(0, meter.waiting(start + 30ms));
    LONGS_EQUAL(20000, meter.answerTime(start + 30ms).count());
    CHECK_FALSE(meter.onAnswerBytes(start + 31ms, flow(1)).has_value());
}

TEST(LoadMeter, NewFlowCountsWhileItsRequestIsExpected)
{
    LoadMeter meter;
    meter.onOpening(start, flow(1));
    LONGS_EQUAL(1, meter.waiting(start + MaxRequestWait));
    LONGS_EQUAL(0, meter.waiting(start + MaxRequestWait + 1ms));
}

TEST(LoadMeter, AnswerTimeGrowsWhileServerHangs)
{
    LoadMeter meter;
    meter.onRequestBytes(start, flow(1));
    meter.onAnswerBytes(start + 20ms, flow(1));
    meter.onRequestBytes(start + 30ms, flow(2));
    CHECK_TRUE(meter.answerTime(start + 830ms) >= 200ms);
    // Retransmissions of the request do not reset its age.
    meter.onRequestBytes(start + 820ms, flow(2));
    CHECK_TRUE(meter.answerTime(start + 830ms) >= 200ms);
}

TEST(LoadMeter, AnswerTimeDecaysWithoutAnswers)
{
    LoadMeter meter;
    meter.onRequestBytes(start, flow(1));
    meter.onAnswerBytes(start + 800ms, flow(1));
    LONGS_EQUAL(800000, meter.answerTime(start + 900ms).count());
    for (int second = 2; second < 8; ++second)
        meter.answerTime(start + std::chrono::seconds(second));
    CHECK_TRUE(meter.answerTime(start + 8s) < 30ms);
}

/// Opens \a flow at \a now. Its request arrives at \a now + \a opening.
static void openFlow(LoadMeter &meter, LoadMeter::TimePoint now, const Model::FlowKey &flow,
                     std::chrono::milliseconds opening)
{
    meter.onOpening(now, flow);
    meter.onRequestBytes(now + opening, flow);
}

TEST(LoadMeter, OccupancyDeductsRequestsAnsweredSoon)
{
    for (const auto &[answerTime, most] : {std::pair(12ms, 2.1), std::pair(70ms, 3.0)}) {
        LoadMeter meter;
        auto now = start;
        for (std::uint16_t number = 0; number < 100; ++number, now += 100ms) {
            openFlow(meter, now, flow(number), 6ms);
            meter.onAnswerBytes(now + 6ms + answerTime, flow(number));
        }
        for (std::uint16_t number = 200; number < 203; ++number)
            meter.onRequestBytes(now, flow(number));
        CHECK_TRUE(meter.occupancy(now) <= most);
        CHECK_TRUE(meter.occupancy(now) >= most - 0.6);
    }
}

TEST(LoadMeter, OccupancyWeightsExpectedRequestsByArrivalShare)
{
    LoadMeter meter;
    auto now = start;
    for (std::uint16_t number = 0; number < 200; ++number, now += 100ms) {
        if (number % 2 == 0)
            openFlow(meter, now, flow(number), 6ms);
        else
            meter.onOpening(now, flow(number));
        meter.waiting(now + 60ms);
        meter.onFlowRemoved(flow(number));
    }
    for (std::uint16_t number = 300; number < 304; ++number)
        meter.onOpening(now, flow(number));
    CHECK_TRUE(meter.occupancy(now) < 2.5);
    CHECK_TRUE(meter.occupancy(now) > 1.5);
}

TEST(LoadMeter, ExpectationIsShorterIfRequestsArriveEarly)
{
    LoadMeter meter;
    auto now = start;
    for (std::uint16_t number = 0; number < 100; ++number, now += 100ms) {
        openFlow(meter, now, flow(number), 5ms);
        meter.onFlowRemoved(flow(number));
    }
    meter.onOpening(now, flow(200));
    LONGS_EQUAL(1, meter.waiting(now + MinRequestWait));
    LONGS_EQUAL(0, meter.waiting(now + 16ms));
}
