#pragma once

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <cstdio>

/// Counts the generated steps of the property that runs.
inline std::uint64_t generatedSteps = 0;

/// Least number of generated steps that a property must have made to count as checked.
constexpr std::uint64_t MinSteps = 20'000;

/// Checks \a property with generated steps; each notes itself in generatedSteps.
template<typename F>
void checkProperty(const char *description, F property)
{
    generatedSteps = 0;
    const bool holds = rc::check(description, property);
    std::printf("%s: %llu steps\n", description, static_cast<unsigned long long>(generatedSteps));
    CHECK_TRUE_TEXT(holds, description);
    CHECK_TRUE_TEXT(generatedSteps >= MinSteps, "too few generated steps");
}

/// The model of properties whose oracle is inside the system under test.
struct NoModel
{};

/// A command whose whole work is one call on the system under test.
template<typename Sut>
class Step : public rc::state::Command<NoModel, Sut>
{
public:
    void run(const NoModel &, Sut &sut) const override
    {
        ++generatedSteps;
        apply(sut);
    }

    virtual void apply(Sut &sut) const = 0;
};
