#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

#include <cstdlib>

static constexpr const char *FixedSeed = "seed=20261204 max_success=4000 max_size=100";

int main(int argc, char **argv)
{
    // RapidCheck keeps generators until the process ends, which counts as a leak.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    setenv("RC_PARAMS", FixedSeed, 0);
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
