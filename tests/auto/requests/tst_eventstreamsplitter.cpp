#include "requests/eventstreamsplitter.h"

#include "property.h"

using namespace Requests;

static constexpr int MaxInterruptions = 5;

TEST_GROUP(EventStreamSplitter){};

TEST(EventStreamSplitter, AnySplitGivesTheSameEvents)
{
    checkProperty("a feed split anywhere and resumed loses and duplicates nothing", [] {
        const auto eventCount = *rc::gen::inRange(1, 30);
        const bool usesCarriageReturn = *rc::gen::arbitrary<bool>();
        const std::string end = usesCarriageReturn ? "\r\n" : "\n";
        const auto event = [&](int number) {
            const std::string text = std::to_string(number);
            return "id: " + text + end + "data: " + text + end + end;
        };
        std::string whole;
        for (int number = 0; number < eventCount; ++number)
            whole += event(number);

        // The feed is interrupted after some bytes, and resumes after the last complete event's id.
        std::string received;
        std::string lastEventId;
        int next = 0;
        int interruptions = 0;
        while (next < eventCount) {
            EventStreamSplitter splitter;
            splitter.setLastEventId(lastEventId);
            std::string rest;
            for (int number = next; number < eventCount; ++number)
                rest += event(number);
            const bool isLastPart = interruptions++ >= MaxInterruptions;
            const auto interruptedAt =
                isLastPart ? rest.size() : *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
            std::size_t position = 0;
            while (position < interruptedAt) {
                ++generatedSteps;
                const auto part = *rc::gen::inRange<std::size_t>(1, 40);
                received += splitter.append(std::string_view(rest).substr(
                    position, std::min(part, interruptedAt - position)));
                position += part;
            }
            lastEventId = splitter.lastEventId();
            next = lastEventId.empty() ? 0 : std::stoi(lastEventId) + 1;
        }
        RC_ASSERT(received == whole);
    });
}

TEST(EventStreamSplitter, OverlongEventIsDetected)
{
    EventStreamSplitter splitter;
    splitter.append(std::string(MaxEventBytes + 1, 'x'));
    CHECK_TRUE(splitter.isEventTooLong());
}
