#include "commands.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

int main(int argc, char **argv)
{
    gflags::SetUsageMessage(Tool::help(""));
    gflags::ParseCommandLineNonHelpFlags(&argc, &argv, true);
    return int(Tool::run({argv + 1, argv + argc}));
}
