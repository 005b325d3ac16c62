#pragma once

#include "store/attempt.h"

#include <functional>

namespace Store {

/// Maximum number of reads to find out whether a write with an unknown outcome took effect.
constexpr int MaxReadBacks = 6;

/// Outcome of a conditional write.
enum class WriteOutcome {
    Written,  ///< the value was written, but may have been overwritten since
    Conflict, ///< another process wrote first; nothing was written
    Unknown,  ///< unknown after MaxReadBacks reads; the value may have been written
    Failed,   ///< nothing was written, for another reason
};

struct WriteResult
{
    WriteOutcome outcome = WriteOutcome::Failed;
    Version version{};     ///< valid after Written
    FailureKind failure{}; ///< valid unless outcome is Written
};

/// Returns the version that a successful write under \a precondition replaces; 0 if the object must
/// not exist.
inline Version versionBefore(const Precondition &precondition)
{
    const auto *const ifVersion = std::get_if<IfVersion>(&precondition);
    return ifVersion ? ifVersion->version : Version{};
}

/// Writes \a value if \a precondition holds. After a lost response, or one of another timeline, it
/// reads the object to find out whether the write took effect, instead of writing again.
///
/// \a contains returns whether a value that was read shows that this write took effect, for example
/// because it contains a change id. \a pause is called before each read, with its number from 0. A
/// stale read from before the write is repeated. Blocks; thread-safe if \a client and the functions
/// are.
template<ObjectClient C>
WriteResult writeOnce(C &client, const std::string &key, const std::string &value,
                      const Precondition &precondition,
                      const std::function<bool(const std::string &)> &contains,
                      const std::function<void(int)> &pause)
{
    const auto written = attempt([&] { return client.write(key, value, precondition); });
    if (const auto *version = std::get_if<Version>(&written))
        return {WriteOutcome::Written, *version, {}};
    const auto failure = std::get<FailureKind>(written);
    if (failure == FailureKind::Conflict)
        return {WriteOutcome::Conflict, {}, failure};
    if (!mayHaveTakenEffect(failure))
        return {WriteOutcome::Failed, {}, failure};

    for (int number = 0; number < MaxReadBacks; ++number) {
        pause(number);
        const auto found = attempt([&] { return client.read(key); });
        const auto *const object = std::get_if<Object>(&found);
        if (!object || object->version <= versionBefore(precondition))
            continue;
        if (contains(object->value))
            return {WriteOutcome::Written, object->version, {}};
        return {WriteOutcome::Conflict, {}, FailureKind::Conflict};
    }
    return {WriteOutcome::Unknown, {}, FailureKind::OutcomeUnknown};
}

} // namespace Store
