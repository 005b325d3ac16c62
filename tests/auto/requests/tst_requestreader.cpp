#include "requests/requestreader.h"

#include "property.h"

using namespace Requests;

static std::vector<HttpRequest> takeAll(RequestReader &reader)
{
    std::vector<HttpRequest> requests;
    while (auto next = reader.next()) {
        RC_ASSERT(std::holds_alternative<HttpRequest>(*next));
        requests.push_back(std::get<HttpRequest>(std::move(*next)));
    }
    return requests;
}

TEST_GROUP(RequestReader){};

TEST(RequestReader, AnySplitsAndMovesGiveTheSameRequests)
{
    checkProperty("requests split anywhere and moved between readers stay complete", [] {
        const auto count = *rc::gen::inRange(1, 8);
        std::string bytes;
        std::vector<std::string> bodies;
        for (int number = 0; number < count; ++number) {
            bodies.emplace_back(*rc::gen::inRange<std::size_t>(0, 300), char('a' + number));
            const std::string target = "/orders/" + std::to_string(number);
            bytes += serializeRequest({"POST", target, {{"Host", "service"}}, bodies.back(), true});
        }

        RequestReader reader;
        std::vector<HttpRequest> requests;
        std::size_t position = 0;
        while (position < bytes.size()) {
            ++generatedSteps;
            const auto part = *rc::gen::inRange<std::size_t>(1, 100);
            reader.append(std::string_view(bytes).substr(position, part));
            position += part;
            for (HttpRequest &request : takeAll(reader))
                requests.push_back(std::move(request));
            if (*rc::gen::inRange(0, 4) == 0) {
                // The flow moves to another agent.
                RequestReader moved;
                moved.append(reader.unreadBytes());
                reader = std::move(moved);
            }
            if (!requests.empty() && *rc::gen::inRange(0, 6) == 0) {
                // A waiting request is put back, to be run on another agent.
                reader.putBack(requests.back());
                requests.pop_back();
            }
        }
        for (HttpRequest &request : takeAll(reader))
            requests.push_back(std::move(request));
        RC_ASSERT(requests.size() == std::size_t(count));
        for (int number = 0; number < count; ++number) {
            RC_ASSERT(requests[std::size_t(number)].body == bodies[std::size_t(number)]);
            RC_ASSERT(requests[std::size_t(number)].target == "/orders/" + std::to_string(number));
        }
    });
}

TEST(RequestReader, RejectsMalformedRequests)
{
    for (const char *text : {"NONSENSE\r\n\r\n", "GET / HTTP/3.9\r\n\r\n",
                             "POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
                             "POST / HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"}) {
        RequestReader reader;
        reader.append(text);
        const auto next = reader.next();
        CHECK_TRUE(next && std::holds_alternative<MalformedRequest>(*next));
    }
}

TEST(RequestReader, ReadsChunkedBody)
{
    RequestReader reader;
    reader.append(
        "POST /orders HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
    const auto next = reader.next();
    CHECK_TRUE(next && std::get<HttpRequest>(*next).body == "abc");
}
