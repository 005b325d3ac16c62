#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Model {

/// IPv4 address and port, both in host byte order.
struct Endpoint
{
    std::uint32_t address = 0;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;

    bool isValid() const { return address != 0 && port != 0; }
};

/// Parses "a.b.c.d" into host byte order; returns nothing if \a text is no IPv4 address.
/// Thread-safe.
std::optional<std::uint32_t> parseAddress(std::string_view text);

/// Parses "a.b.c.d:port"; returns nothing if \a text has another form or port 0. Thread-safe.
std::optional<Endpoint> parseEndpoint(std::string_view text);

/// Returns \a address, in host byte order, as "a.b.c.d". Thread-safe.
std::string addressText(std::uint32_t address);

/// Returns \a endpoint as "a.b.c.d:port". Thread-safe.
std::string endpointText(const Endpoint &endpoint);

/// Identifies a TCP flow by the endpoints of its caller and its service.
struct FlowKey
{
    Endpoint caller;
    Endpoint service;

    auto operator<=>(const FlowKey &) const = default;
};

/// Returns a hash of \a key that is the same in every process. Thread-safe.
std::uint64_t flowHash(const FlowKey &key);

/// Returns \a key as "caller>service". Thread-safe.
std::string flowText(const FlowKey &key);

} // namespace Model

template<>
struct std::hash<Model::FlowKey>
{
    std::size_t operator()(const Model::FlowKey &key) const noexcept
    {
        return Model::flowHash(key);
    }
};
