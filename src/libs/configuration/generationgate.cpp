#include "configuration/generationgate.h"

#include <algorithm>

namespace Configuration {

bool GenerationGate::offer(Model::Configuration candidate)
{
    if (candidate.generation <= current_.generation)
        return false;
    current_ = std::move(candidate);
    noteSeen(current_.generation);
    return true;
}

void GenerationGate::noteSeen(Model::Generation generation)
{
    newestSeen_ = std::max(newestSeen_, generation);
}

bool GenerationGate::isBehind() const
{
    return newestSeen_ > current_.generation;
}

} // namespace Configuration
