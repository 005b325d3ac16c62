#pragma once

#include "membership/directory.h"
#include "observability/log.h"
#include "store/attempt.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <string>

namespace Control {

/// Reads and writes an object of the store that all balancers share and one of them writes, with
/// blocking calls on the caller's thread. Membership::DirectoryPolicy decides when.
template<Store::ObjectClient Client>
class SharedObject
{
public:
    /// A value that was read.
    struct Found
    {
        std::string value;
        Store::Timeline timeline{}; ///< of the store
    };

    /// How the object appears in the log.
    struct Label
    {
        std::string name;  ///< at the beginning of events
        std::string items; ///< what the object contains
        /// Returns the number of items in a value.
        std::function<std::size_t(const std::string &)> count;
    };

    /// \a client must outlive this object and must not be used elsewhere. \a key is the key of the
    /// object in the store. \a isFirstStart is whether the whole system starts for the first time,
    /// so that there is nothing to read.
    SharedObject(Client &client, std::string key, Label label, bool isFirstStart)
        : client_(client)
        , key_(std::move(key))
        , label_(std::move(label))
        , policy_(isFirstStart)
    {}

    /// Makes the call that is due at \a now, if any. \a isResponsible is whether this process
    /// writes the object; \a encode returns the value to write, given the store's timeline. \a
    /// timeline is the latest one that this process knows. Returns the value that was read, if one
    /// was. Not thread-safe.
    template<typename F>
    std::optional<Found> step(std::chrono::steady_clock::time_point now, bool isResponsible,
                              F encode, Store::Timeline timeline)
    {
        const Store::Timeline latest = std::max(timeline, client_.timeline());
        const std::string &encoded = encode(latest);
        switch (policy_.next(now, isResponsible, encoded, latest)) {
        case Membership::DirectoryStep::Wait:
            return std::nullopt;
        case Membership::DirectoryStep::Write:
            write(now, encoded);
            return std::nullopt;
        case Membership::DirectoryStep::Read:
            return read(now);
        }
        return std::nullopt;
    }

    /// Reads the object again with the next step. Not thread-safe.
    void invalidate() { policy_.invalidate(); }

private:
    std::optional<Found> read(std::chrono::steady_clock::time_point now)
    {
        const auto found = Store::attempt([this] { return client_.read(key_); });
        const auto *const object = std::get_if<Store::Object>(&found);
        if (!object && std::get<Store::FailureKind>(found) != Store::FailureKind::NotFound) {
            onFailure(now, "read", std::get<Store::FailureKind>(found));
            return std::nullopt;
        }
        version_ = object ? std::optional(object->version) : std::nullopt;
        policy_.onRead(object ? std::optional(object->value) : std::nullopt, client_.timeline());
        log("-read", version_.value_or(Store::Version()), object ? label_.count(object->value) : 0);
        if (!object)
            return std::nullopt;
        return Found{object->value, object->version.timeline()};
    }

    void write(std::chrono::steady_clock::time_point now, const std::string &encoded)
    {
        const Store::Precondition precondition =
            version_ ? Store::Precondition(Store::IfVersion{*version_}) : Store::IfAbsent{};
        const auto written =
            Store::attempt([&] { return client_.write(key_, encoded, precondition); });
        if (const auto *version = std::get_if<Store::Version>(&written)) {
            version_ = *version;
            policy_.onWritten(encoded);
            log("-written", *version, label_.count(encoded));
        } else {
            // The next read shows whether only the response was lost or another process wrote
            // first.
            onFailure(now, "write", std::get<Store::FailureKind>(written));
        }
    }

    void log(const char *event, Store::Version version, std::size_t count)
    {
        Observability::log(Observability::Level::Info, label_.name + event,
                           {{label_.items, count},
                            {"revision", version.number()},
                            {"timeline", std::uint64_t(client_.timeline())}});
    }

    void onFailure(std::chrono::steady_clock::time_point now, const char *call,
                   Store::FailureKind kind)
    {
        Observability::log(Observability::Level::Warning, label_.name + "-call-failed",
                           {{"call", call}, {"cause", Store::failureText(kind)}});
        policy_.onFailed(now);
    }

    Client &client_;
    std::string key_;
    Label label_;
    Membership::DirectoryPolicy policy_;
    std::optional<Store::Version> version_;
};

} // namespace Control
