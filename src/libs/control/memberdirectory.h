#pragma once

#include "membership/directory.h"
#include "observability/log.h"
#include "store/attempt.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace Control {

/// The members that ran before this process started.
struct LastKnownMembers
{
    std::vector<Membership::DirectoryEntry> members;
    bool isComplete = false; ///< the store was not restored since it acknowledged them
};

/// Reads and writes the directory of members in a store, with blocking calls on the caller's
/// thread.
template<Store::ObjectClient Client>
class MemberDirectory
{
public:
    /// \a client must outlive this object and must not be used elsewhere. \a key is the key of the
    /// directory in the store, and \a isFirstStart whether the whole system starts for the first
    /// time.
    MemberDirectory(Client &client, std::string key, bool isFirstStart = false)
        : client_(client)
        , key_(std::move(key))
        , policy_(isFirstStart)
    {}

    /// Makes the call that is due at \a now, if any. \a isResponsible is whether this process
    /// writes the directory, \a members what it should contain, and \a timeline the latest timeline
    /// of the store that this process knows. Returns the members when they are first read. Not
    /// thread-safe.
    std::optional<LastKnownMembers> step(std::chrono::steady_clock::time_point now,
                                         bool isResponsible,
                                         const std::vector<Tunnel::Member> &members,
                                         Store::Timeline timeline)
    {
        const Store::Timeline latest = std::max(timeline, client_.timeline());
        const std::string encoded = Membership::encodeDirectory(members, latest);
        switch (policy_.next(now, isResponsible, encoded, latest)) {
        case Membership::DirectoryStep::Wait:
            return std::nullopt;
        case Membership::DirectoryStep::Write:
            write(now, encoded, members.size());
            return std::nullopt;
        case Membership::DirectoryStep::Read:
            return read(now);
        }
        return std::nullopt;
    }

private:
    std::optional<LastKnownMembers> read(std::chrono::steady_clock::time_point now)
    {
        const auto found = Store::attempt([this] { return client_.read(key_); });
        const auto *const object = std::get_if<Store::Object>(&found);
        if (!object && std::get<Store::FailureKind>(found) != Store::FailureKind::NotFound) {
            onFailure(now, "read", std::get<Store::FailureKind>(found));
            return std::nullopt;
        }
        version_ = object ? std::optional(object->version) : std::nullopt;
        policy_.onRead(object ? std::optional(object->value) : std::nullopt, client_.timeline());
        auto directory =
            object ? Membership::decodeDirectory(object->value) : Membership::Directory();
        log("directory-read", version_.value_or(Store::Version()), directory.members.size());
        if (!object || std::exchange(wasReturned_, true))
            return std::nullopt;
        const bool isComplete = directory.timeline == object->version.timeline();
        return LastKnownMembers{std::move(directory.members), isComplete};
    }

    void write(std::chrono::steady_clock::time_point now, const std::string &encoded,
               std::size_t memberCount)
    {
        const Store::Precondition precondition =
            version_ ? Store::Precondition(Store::IfVersion{*version_}) : Store::IfAbsent{};
        const auto written =
            Store::attempt([&] { return client_.write(key_, encoded, precondition); });
        if (const auto *version = std::get_if<Store::Version>(&written)) {
            version_ = *version;
            policy_.onWritten(encoded);
            log("directory-written", *version, memberCount);
        } else {
            // The next read shows whether only the response was lost or another process wrote
            // first.
            onFailure(now, "write", std::get<Store::FailureKind>(written));
        }
    }

    void log(const char *event, Store::Version version, std::size_t members)
    {
        Observability::log(Observability::Level::Info, event,
                           {{"members", members},
                            {"revision", version.number()},
                            {"timeline", std::uint64_t(client_.timeline())}});
    }

    void onFailure(std::chrono::steady_clock::time_point now, const char *call,
                   Store::FailureKind kind)
    {
        Observability::log(Observability::Level::Warning, "directory-call-failed",
                           {{"call", call}, {"cause", Store::failureText(kind)}});
        policy_.onFailed(now);
    }

    Client &client_;
    std::string key_;
    Membership::DirectoryPolicy policy_;
    std::optional<Store::Version> version_;
    bool wasReturned_ = false;
};

} // namespace Control
