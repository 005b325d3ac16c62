#pragma once

#include "store/objectclient.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Content of a platform store that can go back to an older copy of itself.
///
/// Keeps copies after each of the latest writes. A restore loses the writes since the copy and
/// gives their revisions out again. Knows revisions as the platform does, by number. Not
/// thread-safe.
class RestorableStore
{
public:
    struct Entry
    {
        std::uint64_t revision = 0;
        std::string value;
    };

    struct Event
    {
        std::uint64_t revision = 0;
        std::string key;
        std::optional<std::string> value; ///< empty after a deletion
    };

    explicit RestorableStore(Store::Timeline timeline = Store::Timeline(1))
        : timeline_(timeline)
    {}

    std::uint64_t revision() const { return state_.revision; }
    Store::Timeline timeline() const { return timeline_; }

    /// Returns the objects whose keys begin with \a prefix.
    std::map<std::string, Entry> list(const std::string &prefix) const
    {
        std::map<std::string, Entry> listed;
        for (const auto &[key, entry] : state_.objects) {
            if (key.starts_with(prefix))
                listed.emplace(key, entry);
        }
        return listed;
    }

    std::optional<Entry> read(const std::string &key) const
    {
        const auto entry = state_.objects.find(key);
        return entry == state_.objects.end() ? std::nullopt : std::optional(entry->second);
    }

    /// Writes \a value, or deletes the object without one, if its revision is \a expected; 0 stands
    /// for no object. Returns the new revision, or nothing on a conflict.
    std::optional<std::uint64_t> write(const std::string &key, std::optional<std::string> value,
                                       std::uint64_t expected)
    {
        const auto current = read(key);
        if ((current ? current->revision : 0) != expected)
            return std::nullopt;
        return overwrite(key, std::move(value));
    }

    /// Writes \a value, or deletes the object without one. Returns the new revision.
    std::uint64_t overwrite(const std::string &key, std::optional<std::string> value)
    {
        ++state_.revision;
        if (value)
            state_.objects[key] = {state_.revision, *value};
        else
            state_.objects.erase(key);
        state_.events.push_back({state_.revision, key, std::move(value)});
        copies_.push_back(state_);
        if (copies_.size() > MaxCopies)
            copies_.pop_front();
        return state_.revision;
    }

    /// Returns the events after \a revision for keys that begin with \a prefix; nothing if the
    /// store does not have the history since \a revision.
    std::optional<std::vector<Event>> eventsAfter(const std::string &prefix,
                                                  std::uint64_t revision) const
    {
        if (revision > state_.revision || revision < state_.historyStart)
            return std::nullopt;
        std::vector<Event> events;
        for (const Event &event : state_.events) {
            if (event.revision > revision && event.key.starts_with(prefix))
                events.push_back(event);
        }
        return events;
    }

    /// Drops the history up to now.
    void compact()
    {
        state_.historyStart = state_.revision;
        state_.events.clear();
    }

    /// Goes back to the state before the latest \a writes writes, on a new timeline.
    void restore(std::size_t writes)
    {
        copies_.resize(copies_.size() - std::min(writes, copies_.size() - 1));
        state_ = copies_.back();
        timeline_ = Store::Timeline(std::uint64_t(timeline_) + 1);
    }

private:
    static constexpr std::size_t MaxCopies = 64;

    struct State
    {
        std::uint64_t revision = 0;
        std::uint64_t historyStart = 0;
        std::map<std::string, Entry> objects;
        std::vector<Event> events;
    };

    State state_;
    std::deque<State> copies_{State{}};
    Store::Timeline timeline_;
};
