#pragma once

#include "control/sharedobject.h"

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
        : object_(client, std::move(key),
                  {"directory", "members",
                   [](const std::string &value) {
                       return Membership::decodeDirectory(value).members.size();
                   }},
                  isFirstStart)
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
        const auto found = object_.step(
            now, isResponsible,
            [&members](Store::Timeline latest) {
                return Membership::encodeDirectory(members, latest);
            },
            timeline);
        if (!found || std::exchange(wasReturned_, true))
            return std::nullopt;
        auto directory = Membership::decodeDirectory(found->value);
        return LastKnownMembers{std::move(directory.members),
                                directory.timeline == found->timeline};
    }

private:
    SharedObject<Client> object_;
    bool wasReturned_ = false;
};

} // namespace Control
