#pragma once

#include "store/attempt.h"

#include <functional>

namespace Store {

/// Reads of the platform that one write with an unknown outcome may cost.
constexpr int MaxReadBacks = 6;

/// How a write ended.
enum class WriteOutcome {
    Written,  ///< the value was written, though another may stand there by now
    Conflict, ///< another writer was first; nothing was written
    Unknown,  ///< the platform did not say within MaxReadBacks
    Failed,   ///< nothing was written, for another reason
};

struct WriteResult
{
    WriteOutcome outcome = WriteOutcome::Failed;
    Version version{};     ///< after Written
    FailureKind failure{}; ///< after Failed
};

/// Returns the version that must be passed for a write under \a precondition to have happened.
inline Version versionBefore(const Precondition &precondition)
{
    const auto *const ifVersion = std::get_if<IfVersion>(&precondition);
    return ifVersion ? ifVersion->version : Version{};
}

/// Writes \a value once, and after a lost answer finds out what happened instead of repeating.
///
/// \a contains tells whether a value that is read back shows that this write took effect, for
/// example by a change id inside. \a pause is called before each reading back, with its number
/// from 0. A read that is older than the write tells nothing and is made again.
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
    if (failure != FailureKind::OutcomeUnknown)
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
