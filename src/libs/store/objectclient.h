#pragma once

#include "store/revision.h"

#include <boost/leaf/result.hpp>

#include <chrono>
#include <concepts>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

/// Client of the platform's object API: versions, conditional updates and watches.
namespace Store {

struct Object
{
    std::string key;
    Version version{};
    std::string value; ///< JSON
};

/// A change that a watch reports; without a value if the object was deleted.
struct Change
{
    std::string key;
    Version version{};
    std::optional<std::string> value;
};

/// The objects whose keys begin with a prefix, as of one revision.
struct Listing
{
    Revision revision{};
    std::vector<Object> objects;
};

/// The changes of objects whose keys begin with a prefix, up to one revision.
struct Changes
{
    Revision revision{};
    std::vector<Change> changes;
};

/// Holds if the object has this version.
struct IfVersion
{
    Version version;
};

/// Holds if the object does not exist.
struct IfAbsent
{};

/// What must hold for a write to take effect.
using Precondition = std::variant<IfVersion, IfAbsent>;

enum class FailureKind {
    Unreachable,    ///< no connection, so the call had no effect
    OutcomeUnknown, ///< no response; a write may have taken effect
    Conflict,       ///< the precondition of a write did not hold
    NotFound,       ///< no such object
    TooOld,         ///< the history since the watch's start was dropped; list again
    OtherTimeline,  ///< the store was restored since the revision in the call; read again
    Overloaded,     ///< the platform rejected the call for now; retry later
    Malformed,      ///< the response has an unknown format or status
};

/// Whether a write that failed for \a kind may have taken effect. Thread-safe.
inline bool mayHaveTakenEffect(FailureKind kind)
{
    return kind == FailureKind::OutcomeUnknown || kind == FailureKind::OtherTimeline;
}

/// Returns the name of \a kind for logs and metrics. Thread-safe.
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
    case FailureKind::OtherTimeline:
        return "other-timeline";
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

/// Requirements on a client of the object API, so that tests can replace the platform. Each call
/// may block for up to the client's timeout, and fails with Failure. \c timeline() is the timeline
/// of the latest response.
///
/// The platform may know revisions by number only. A call with a revision of another timeline than
/// that of its response fails: a watch would miss the changes between both, and a write may have
/// taken effect over an object that the caller has not seen. A long watch must directly follow a
/// response, since only responses tell the timeline.
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
    {
        std::as_const(client).timeline()
        } -> std::same_as<Timeline>;
};

} // namespace Store
