#pragma once

#include "model/service.h"

#include <optional>

namespace Configuration {

/// Holds the configuration in force, and replaces it only by newer ones, so that a stale read
/// changes nothing. Not thread-safe.
class GenerationGate
{
public:
    /// Puts \a candidate in force if its generation is greater than the current one. Returns
    /// whether it was accepted.
    bool offer(Model::Configuration candidate);

    /// Records that a peer or a datagram reported \a generation.
    void noteSeen(Model::Generation generation);

    /// Whether a generation greater than the current one was recorded.
    bool isBehind() const;

    /// Returns the configuration in force; generation 0 before the first one.
    const Model::Configuration &current() const { return current_; }

private:
    Model::Configuration current_;
    Model::Generation newestSeen_{};
};

} // namespace Configuration
