#include "requests/eventstreamsplitter.h"

#include "property.h"

using namespace Requests;

static constexpr int MostBreaks = 5;

TEST_GROUP(EventStreamSplitter){};

TEST(EventStreamSplitter, AnyCutsGiveTheSameEvents)
{
    checkProperty("a feed cut anywhere and resumed loses and doubles nothing", [] {
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

        // The feed breaks off after some bytes, and goes on after the last whole event's id.
        std::string received;
        std::string lastEventId;
        int next = 0;
        int breaks = 0;
        while (next < eventCount) {
            EventStreamSplitter cursor;
            cursor.setLastEventId(lastEventId);
            std::string rest;
            for (int number = next; number < eventCount; ++number)
                rest += event(number);
            const bool isLastPart = breaks++ >= MostBreaks;
            const auto breakOff =
                isLastPart ? rest.size() : *rc::gen::inRange<std::size_t>(1, rest.size() + 1);
            std::size_t position = 0;
            while (position < breakOff) {
                ++generatedSteps;
                const auto part = *rc::gen::inRange<std::size_t>(1, 40);
                received += cursor.feed(
                    std::string_view(rest).substr(position, std::min(part, breakOff - position)));
                position += part;
            }
            lastEventId = cursor.lastEventId();
            next = lastEventId.empty() ? 0 : std::stoi(lastEventId) + 1;
        }
        RC_ASSERT(received == whole);
    });
}

TEST(EventStreamSplitter, OverlongEventIsNoticed)
{
    EventStreamSplitter cursor;
    cursor.feed(std::string(MaxEventBytes + 1, 'x'));
    CHECK_TRUE(cursor.isOverlong());
}
