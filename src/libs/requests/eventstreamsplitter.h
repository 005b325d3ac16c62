#pragma once

#include <string>
#include <string_view>

namespace Requests {

/// Largest event of a feed, in bytes; a longer one ends the feed.
constexpr std::size_t MaxEventBytes = 256 * 1024;

/// Splits a text/event-stream into complete events and stores the id of the last one, so that
/// another agent can resume a feed without losing or duplicating an event. Not thread-safe.
class EventStreamSplitter
{
public:
    /// Appends the next bytes of the stream. Returns the events that they complete, unchanged.
    std::string append(std::string_view bytes);

    /// Returns the id of the last complete event that has one; empty if none has.
    const std::string &lastEventId() const { return lastEventId_; }

    /// Sets the id of the event after which the stream starts.
    void setLastEventId(std::string id) { lastEventId_ = std::move(id); }

    /// Returns whether the current event is longer than MaxEventBytes.
    bool isEventTooLong() const { return partial_.size() > MaxEventBytes; }

    /// Discards the bytes of an incomplete event.
    void dropPartialEvent() { partial_.clear(); }

private:
    void recordEventIds(std::string_view events);

    std::string partial_;
    std::string lastEventId_;
};

} // namespace Requests
