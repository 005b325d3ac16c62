#pragma once

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <CppUTest/TestHarness.h>

#include <cstdint>
#include <cstdio>

/// Number of generated steps of the property that is being checked.
inline std::uint64_t generatedSteps = 0;

/// Minimum number of generated steps for a property to count as checked.
constexpr std::uint64_t MinSteps = 20'000;

/// Checks \a property on generated input. Fails the test if the property does not hold, or if it
/// counted fewer than \a minSteps steps in generatedSteps.
template<typename F>
void checkProperty(const char *description, F property, std::uint64_t minSteps = MinSteps)
{
    generatedSteps = 0;
    const bool holds = rc::check(description, property);
    std::printf("%s: %llu steps\n", description, static_cast<unsigned long long>(generatedSteps));
    CHECK_TRUE_TEXT(holds, description);
    CHECK_TRUE_TEXT(generatedSteps >= minSteps, "fewer than the minimum of generated steps");
}

/// The model for properties that the system under test checks itself.
struct NoModel
{};

/// A command that does nothing but a call on the system under test, counted as one step.
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
