#pragma once

#include <compare>
#include <cstdint>

namespace Store {

/// Number of times that the platform's store was restored from an older copy.
///
/// A restore loses the changes since the copy, and their revisions are given out again for other
/// changes. Revisions can only be compared by number within one timeline.
enum class Timeline : std::uint64_t {};

/// Position in the sequence of all writes to the platform. Every position of a later timeline is
/// after all positions of the earlier ones.
class Revision
{
public:
    /// The position before all writes.
    constexpr Revision() = default;
    constexpr explicit Revision(std::uint64_t number, Timeline timeline = {})
        : timeline_(timeline)
        , number_(number)
    {}

    constexpr Timeline timeline() const { return timeline_; }

    /// Returns the number by which the platform refers to this position within its timeline.
    constexpr std::uint64_t number() const { return number_; }

    friend constexpr auto operator<=>(const Revision &, const Revision &) = default;

private:
    Timeline timeline_{};
    std::uint64_t number_ = 0;
};

/// Version of an object: the platform's revision at its last write.
using Version = Revision;

} // namespace Store
