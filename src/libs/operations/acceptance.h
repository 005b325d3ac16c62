#pragma once

#include "configuration/configurationcodec.h"
#include "membership/announcement.h"
#include "store/conditionalwrite.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <functional>
#include <string>

/// What operators do through the platform.
namespace Operations {

/// How an acceptance ended.
enum class AcceptanceOutcome {
    InForce,     ///< the platform keeps the configuration under the new generation
    Conflict,    ///< another operator was first; nothing was changed
    Unknown,     ///< the platform did not say; look again before trying anew
    Unavailable, ///< the platform did not answer; nothing was changed
    Malformed,   ///< the platform's configuration can't be read; nothing was changed
};

struct AcceptanceResult
{
    AcceptanceOutcome outcome = AcceptanceOutcome::Unavailable;
    Model::Generation generation{}; ///< after InForce
};

/// Change ids that a configuration remembers, for operators who look for their own.
constexpr std::size_t MaxRecentChanges = 16;

/// Reads the configuration that \a object holds; nothing if it can't be read.
std::optional<Model::Configuration> configurationOf(const Store::Object &object);

/// Puts \a candidate in force as the generation after the current one.
///
/// \a expected is the generation that the operator decided on, if any: another one in force is a
/// conflict. \a changeId names this acceptance. \a pause is called between reads after a lost
/// answer.
template<Store::ObjectClient C>
AcceptanceResult acceptConfiguration(C &client, Model::Configuration candidate,
                        std::optional<Model::Generation> expected, const std::string &changeId,
                        const std::function<void(int)> &pause)
{
    const std::string key(Membership::ConfigurationKey);
    const auto current = Store::attempt([&] { return client.read(key); });
    Store::Precondition precondition = Store::IfAbsent{};
    Model::Configuration before;
    if (const auto *object = std::get_if<Store::Object>(&current)) {
        const auto inForce = configurationOf(*object);
        if (!inForce)
            return {AcceptanceOutcome::Malformed, {}};
        before = *inForce;
        precondition = Store::IfVersion{object->version};
    } else if (std::get<Store::FailureKind>(current) != Store::FailureKind::NotFound) {
        return {AcceptanceOutcome::Unavailable, {}};
    }
    if (expected && *expected != before.generation)
        return {AcceptanceOutcome::Conflict, {}};

    candidate.generation = Model::Generation(std::uint64_t(before.generation) + 1);
    candidate.recentChanges = before.recentChanges;
    candidate.recentChanges.insert(candidate.recentChanges.begin(), changeId);
    if (candidate.recentChanges.size() > MaxRecentChanges)
        candidate.recentChanges.resize(MaxRecentChanges);
    const auto contains = [&](const std::string &value) {
        const auto found = configurationOf({key, {}, value});
        return found
               && std::find(found->recentChanges.begin(), found->recentChanges.end(), changeId)
                      != found->recentChanges.end();
    };
    const auto written =
        Store::writeOnce(client, key, Configuration::encodeConfiguration(candidate).dump(),
                         precondition, contains, pause);
    switch (written.outcome) {
    case Store::WriteOutcome::Written:
        return {AcceptanceOutcome::InForce, candidate.generation};
    case Store::WriteOutcome::Conflict:
        return {AcceptanceOutcome::Conflict, {}};
    case Store::WriteOutcome::Unknown:
        return {AcceptanceOutcome::Unknown, {}};
    case Store::WriteOutcome::Failed:
        break;
    }
    return {AcceptanceOutcome::Unavailable, {}};
}

} // namespace Operations
