#pragma once

#include <string>
#include <vector>

/// The operators' tool.
namespace Tool {

/// What scripts can rely on.
enum class ExitCode {
    Done = 0,
    Failed = 1,   ///< a process or the platform did not answer
    BadInput = 2, ///< command line or file refused; nothing was changed
    Conflict = 3, ///< another operator was first; nothing was changed
    Unknown = 4,  ///< the outcome is not known; look before trying again
};

/// Runs the subcommand in \a words, the program's name left out.
ExitCode run(const std::vector<std::string> &words);

/// Returns the help for \a command, or for all of them where it is empty.
std::string help(const std::string &command);

} // namespace Tool
