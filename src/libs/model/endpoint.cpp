#include "model/endpoint.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <arpa/inet.h>

#include <charconv>

namespace Model {

std::optional<std::uint32_t> parseAddress(std::string_view text)
{
    in_addr parsed{};
    if (inet_pton(AF_INET, std::string(text).c_str(), &parsed) != 1)
        return std::nullopt;
    return ntohl(parsed.s_addr);
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto address = parseAddress(text.substr(0, colon));
    if (!address)
        return std::nullopt;

    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc() || end != digits.data() + digits.size() || port == 0)
        return std::nullopt;
    return Endpoint{*address, port};
}

std::string addressText(std::uint32_t address)
{
    return fmt::format("{}.{}.{}.{}", address >> 24, (address >> 16) & 0xff, (address >> 8) & 0xff,
                       address & 0xff);
}

std::string endpointText(const Endpoint &endpoint)
{
    return fmt::format("{}:{}", addressText(endpoint.address), endpoint.port);
}

std::uint64_t flowHash(const FlowKey &key)
{
    const std::uint64_t words[2] = {
        (std::uint64_t(key.caller.address) << 32) | key.service.address,
        (std::uint64_t(key.caller.port) << 16) | key.service.port,
    };
    return XXH3_64bits(words, sizeof words);
}

std::string flowText(const FlowKey &key)
{
    return endpointText(key.caller) + '>' + endpointText(key.service);
}

} // namespace Model
