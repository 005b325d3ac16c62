#include "measures.h"

#include <cstdio>
#include <string>

/// Runs all benchmarks, or only the one named on the command line, and prints the results as JSON.
int main(int argc, char **argv)
{
    const std::string only = argc > 1 ? argv[1] : "";
    nlohmann::json report = nlohmann::json::object();
    if (only.empty() || only == "routing")
        report.update(Measures::measureRouting());
    if (only.empty() || only == "policy")
        report.update(Measures::measurePolicy());
    if (only.empty() || only == "forwarding")
        report.update(Measures::measureForwarding());
    std::printf("%s\n", report.dump().c_str());
    return 0;
}
