#pragma once

#include <cstdint>

namespace Routing {

/// Returns a hash of \a value in which all bits depend on all bits of \a value. Thread-safe.
constexpr std::uint64_t mixedHash(std::uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    return value ^ (value >> 33);
}

} // namespace Routing
