#include "agent/responsewriter.h"

#include "property.h"

using namespace Agent;

TEST_GROUP(ResponseWriter){};

TEST(ResponseWriter, KeepsContentLengthIfKnown)
{
    ResponseWriter writer(true, true);
    STRCMP_EQUAL("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nConnection: keep-alive\r\n\r\n",
                 writer.head({200, "OK", {}, 3}).c_str());
    STRCMP_EQUAL("abc", writer.body("abc").c_str());
    STRCMP_EQUAL("", writer.end().c_str());
}

TEST(ResponseWriter, UsesChunksIfLengthIsUnknown)
{
    ResponseWriter writer(true, false);
    STRCMP_EQUAL("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n",
                 writer.head({200, "OK", {}, std::nullopt}).c_str());
    STRCMP_EQUAL("3\r\nabc\r\n", writer.body("abc").c_str());
    STRCMP_EQUAL("0\r\n\r\n", writer.end().c_str());
}

TEST(ResponseWriter, NoContentHasNoBody)
{
    ResponseWriter writer(true, true);
    STRCMP_EQUAL("HTTP/1.1 204 No Content\r\nConnection: keep-alive\r\n\r\n",
                 writer.head({204, "No Content", {}, std::nullopt}).c_str());
    STRCMP_EQUAL("", writer.end().c_str());
}
