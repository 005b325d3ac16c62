#include "commands.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <string_view>

int main(int argc, char **argv)
{
    gflags::SetUsageMessage(Tool::help(""));
    for (int index = 1; index < argc; ++index) {
        if (std::string_view(argv[index]) == "--help") {
            fmt::print("{}", Tool::help(""));
            return int(Tool::ExitCode::Done);
        }
    }
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    return int(Tool::run({argv + 1, argv + argc}));
}
