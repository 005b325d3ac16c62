#pragma once

#include <string>
#include <string_view>

namespace Requests {

/// Largest event of a feed, in bytes; a longer one ends the feed.
constexpr std::size_t MaxEventBytes = 256 * 1024;

/// Cuts a text/event-stream into whole events and remembers the last event's id, so that a feed
/// can go on elsewhere without an event lost or doubled. Not thread-safe.
class EventStreamSplitter
{
public:
    /// Takes the next bytes of the stream; returns the events that are whole now, as they came.
    std::string feed(std::string_view bytes);

    /// Returns the id of the last whole event; empty if no event had one.
    const std::string &lastEventId() const { return lastEventId_; }

    /// Sets the id that the next events come after.
    void setLastEventId(std::string id) { lastEventId_ = std::move(id); }

    /// Whether the current event is longer than MaxEventBytes.
    bool isOverlong() const { return partial_.size() > MaxEventBytes; }

    /// Forgets the part of an event that is not whole yet.
    void dropPartialEvent() { partial_.clear(); }

private:
    void noteIds(std::string_view events);

    std::string partial_;
    std::string lastEventId_;
};

} // namespace Requests
