#pragma once

#include "configuration/configurationcodec.h"
#include "membership/announcement.h"
#include "store/conditionalwrite.h"

#include <boost/leaf/handle_errors.hpp>

#include <algorithm>
#include <functional>
#include <string>

/// Operators' changes through the platform.
namespace Operations {

/// Outcome of accepting a configuration.
enum class AcceptanceOutcome {
    InForce,     ///< the configuration was stored with the new generation
    Conflict,    ///< another operator changed the configuration first; nothing was changed
    Unknown,     ///< unknown whether it was stored; check before trying again
    Unavailable, ///< the platform could not be reached or failed; nothing was changed
    Malformed,   ///< the platform's configuration can't be parsed; nothing was changed
};

struct AcceptanceResult
{
    AcceptanceOutcome outcome = AcceptanceOutcome::Unavailable;
    Model::Generation generation{}; ///< valid after InForce
};

/// Maximum number of change ids that a configuration keeps. An operator's change is found by its id
/// when the response to its write was lost.
constexpr std::size_t MaxRecentChanges = 16;

/// Returns the configuration in \a object; nothing if it can't be parsed. Thread-safe.
std::optional<Model::Configuration> configurationOf(const Store::Object &object);

/// Number of generations for each timeline of the platform.
constexpr std::uint64_t GenerationsPerTimeline = std::uint64_t(1) << 40;

/// Returns the generation of a configuration that replaces one of the generation \a before on
/// \a timeline.
///
/// A platform that was restored from an older copy may lack configurations that are in force. The
/// first generation of a timeline is therefore greater than all of the earlier ones. Thread-safe.
inline Model::Generation generationAfter(Model::Generation before, Store::Timeline timeline)
{
    const std::uint64_t first = std::uint64_t(timeline) * GenerationsPerTimeline;
    return Model::Generation(std::max(std::uint64_t(before) + 1, first));
}

/// Stores \a candidate on the platform with the generation after the current one.
///
/// \a expected is the generation that the operator's decision is based on, if any: if another one
/// is in force, the outcome is a conflict. \a changeId must be unique to this call. \a pause is
/// called before each read after a lost response, with its number from 0. Blocks; thread-safe if
/// \a client and \a pause are.
template<Store::ObjectClient C>
AcceptanceResult acceptConfiguration(C &client, Model::Configuration candidate,
                                     std::optional<Model::Generation> expected,
                                     const std::string &changeId,
                                     const std::function<void(int)> &pause)
{
    const std::string key(Membership::ConfigurationKey);
    const auto current = Store::attempt([&] { return client.read(key); });
    Store::Precondition precondition = Store::IfAbsent{};
    Model::Configuration before;
    if (const auto *object = std::get_if<Store::Object>(&current)) {
        const auto currentConfiguration = configurationOf(*object);
        if (!currentConfiguration)
            return {AcceptanceOutcome::Malformed, {}};
        before = *currentConfiguration;
        precondition = Store::IfVersion{object->version};
    } else if (std::get<Store::FailureKind>(current) != Store::FailureKind::NotFound) {
        return {AcceptanceOutcome::Unavailable, {}};
    }
    if (expected && *expected != before.generation)
        return {AcceptanceOutcome::Conflict, {}};

    candidate.generation = generationAfter(before.generation, client.timeline());
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
