#include "configuration/generationgate.h"

#include "property.h"

#include <algorithm>

using namespace Configuration;

TEST_GROUP(GenerationGate){};

TEST(GenerationGate, GenerationNeverDecreases)
{
    checkProperty("the generation in force never decreases", [] {
        GenerationGate gate;
        std::uint64_t greatest = 0;
        const auto offers = *rc::gen::container<std::vector<std::uint64_t>>(
            40, rc::gen::inRange<std::uint64_t>(0, 50));
        for (const std::uint64_t generation : offers) {
            ++generatedSteps;
            Model::Configuration candidate;
            candidate.generation = Model::Generation(generation);
            RC_ASSERT(gate.offer(candidate) == (generation > greatest));
            greatest = std::max(greatest, generation);
            RC_ASSERT(gate.current().generation == Model::Generation(greatest));
            RC_ASSERT(!gate.isBehind());
        }
        gate.noteSeen(Model::Generation(greatest + 1));
        RC_ASSERT(gate.isBehind());
    });
}
