#pragma once

#include "model/service.h"

#include <optional>

namespace Configuration {

/// Lets only newer configurations through, whatever a stale read says.
///
/// Not thread-safe; the control thread owns it.
class GenerationGate
{
public:
    /// Takes \a candidate if its generation is greater than the one in force.
    /// Returns whether it was taken.
    bool offer(Model::Configuration candidate);

    /// Notes that a peer or a datagram named \a generation.
    void noteSeen(Model::Generation generation);

    /// Whether a configuration newer than the one in force is known to exist.
    bool isBehind() const;

    /// Returns the configuration in force; generation 0 before the first one.
    const Model::Configuration &current() const { return current_; }

private:
    Model::Configuration current_;
    Model::Generation newestSeen_{};
};

} // namespace Configuration
