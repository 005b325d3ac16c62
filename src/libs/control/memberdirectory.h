#pragma once

#include "membership/directory.h"
#include "observability/log.h"
#include "store/attempt.h"

#include <string>
#include <vector>

namespace Control {

/// Reads and writes the directory of members in a store, with blocking calls on the caller's
/// thread.
template<Store::ObjectClient Client>
class MemberDirectory
{
public:
    /// \a client must outlive this object and must not be used elsewhere. \a key is the key of the
    /// directory in the store.
    MemberDirectory(Client &client, std::string key)
        : client_(client)
        , key_(std::move(key))
    {}

    /// Makes the call that is due at \a now, if any. \a isResponsible is whether this process
    /// writes the directory, \a members what it should contain. Returns the members that were
    /// read; empty if none were. Not thread-safe.
    std::vector<Membership::DirectoryEntry> step(std::chrono::steady_clock::time_point now,
                                                 bool isResponsible,
                                                 const std::vector<Tunnel::Member> &members)
    {
        const std::string encoded = Membership::encodeDirectory(members);
        switch (policy_.next(now, isResponsible, encoded)) {
        case Membership::DirectoryStep::Wait:
            return {};
        case Membership::DirectoryStep::Write:
            write(now, encoded, members.size());
            return {};
        case Membership::DirectoryStep::Read:
            return read(now);
        }
        return {};
    }

private:
    std::vector<Membership::DirectoryEntry> read(std::chrono::steady_clock::time_point now)
    {
        const auto found = Store::attempt([this] { return client_.read(key_); });
        if (const auto *object = std::get_if<Store::Object>(&found)) {
            version_ = object->version;
            policy_.onRead(object->value);
            auto members = Membership::decodeDirectory(object->value);
            log("directory-read", object->version, members.size());
            return members;
        }
        if (std::get<Store::FailureKind>(found) == Store::FailureKind::NotFound) {
            version_.reset();
            policy_.onRead(std::nullopt);
            log("directory-read", {}, 0);
        } else {
            onFailure(now, "read", std::get<Store::FailureKind>(found));
        }
        return {};
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
                            {"timeline", std::uint64_t(version.timeline())}});
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
};

} // namespace Control
