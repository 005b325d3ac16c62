#pragma once

#include <boost/leaf/result.hpp>

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// The platform's object API: versions, conditional updates and watches.
namespace Store {

/// Version of one object; the platform's revision at its last write.
enum class Version : std::uint64_t {};

/// Counts all writes of the platform.
enum class Revision : std::uint64_t {};

struct Object
{
    std::string key;
    Version version{};
    std::string value; ///< JSON
};

/// A change that a watch reports; no value where the object was deleted.
struct Change
{
    std::string key;
    Version version{};
    std::optional<std::string> value;
};

/// Objects under a prefix as of one revision.
struct Listing
{
    Revision revision{};
    std::vector<Object> objects;
};

/// Changes under a prefix, up to one revision.
struct Changes
{
    Revision revision{};
    std::vector<Change> changes;
};

/// The object has this version.
struct IfVersion
{
    Version version;
};

/// There is no such object.
struct IfAbsent
{};

/// What must hold for a write to take effect.
using Precondition = std::variant<IfVersion, IfAbsent>;

enum class FailureKind {
    Unreachable,    ///< no connection, so the call had no effect
    OutcomeUnknown, ///< no answer; a write may have taken effect
    Conflict,       ///< the precondition of a write did not hold
    NotFound,       ///< no such object
    TooOld,         ///< the watch's start is no longer known; list anew
    Overloaded,     ///< the platform asks to come back later
    Malformed,      ///< an answer of another form
};

/// Returns the name of \a kind in logs and metrics. Thread-safe.
inline const char *failureText(FailureKind kind)
{
    switch (kind) {
    case FailureKind::Unreachable:
        return "unreachable";
    case FailureKind::OutcomeUnknown:
        return "outcome-unknown";
    case FailureKind::Conflict:
        return "conflict";
    case FailureKind::NotFound:
        return "not-found";
    case FailureKind::TooOld:
        return "too-old";
    case FailureKind::Overloaded:
        return "overloaded";
    case FailureKind::Malformed:
        return "malformed";
    }
    return "unknown";
}

/// Why a call failed.
struct Failure
{
    FailureKind kind{};
};

/// What the code above needs of the platform. Each call may block up to the client's timeout and
/// fails with Failure.
template<typename C>
concept ObjectClient = requires(C client, const std::string &text, Precondition precondition,
                                Revision revision, std::chrono::milliseconds wait, Version version)
{
    {
        client.read(text)
        } -> std::same_as<boost::leaf::result<Object>>;
    {
        client.list(text)
        } -> std::same_as<boost::leaf::result<Listing>>;
    {
        client.write(text, text, precondition)
        } -> std::same_as<boost::leaf::result<Version>>;
    {
        client.remove(text, version)
        } -> std::same_as<boost::leaf::result<Version>>;
    {
        client.watch(text, revision, wait)
        } -> std::same_as<boost::leaf::result<Changes>>;
};

} // namespace Store
