#pragma once

#include <string>
#include <vector>

/// The operators' command line tool.
namespace Tool {

/// Exit status of the tool. The values are stable, for use in scripts.
enum class ExitCode {
    Done = 0,
    Failed = 1,   ///< no usable response from a process or the platform, or no log lines found
    BadInput = 2, ///< invalid command line or file; nothing was changed
    Conflict = 3, ///< another operator's change came first; nothing was changed
    Unknown = 4,  ///< the outcome is not known; check it before trying again
};

/// Runs the command in \a words, which are the command line arguments without the program's name.
ExitCode run(const std::vector<std::string> &words);

/// Returns the help text for \a command, or for all commands if it is empty.
std::string help(const std::string &command);

} // namespace Tool
