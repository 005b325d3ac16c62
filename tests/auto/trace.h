#pragma once

#include <CppUTest/TestHarness.h>

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

/// One line of a recorded trace, split at blanks.
using TraceLine = std::vector<std::string>;

/// Reads the lines of the trace at \a path, without blank lines and comments, which start with "#
/// ".
inline std::vector<TraceLine> readTrace(const std::filesystem::path &path)
{
    std::ifstream file(path);
    std::vector<TraceLine> lines;
    for (std::string text; std::getline(file, text);) {
        std::istringstream words(text);
        TraceLine line;
        for (std::string word; words >> word;)
            line.push_back(word);
        if (!line.empty() && line.front() != "#")
            lines.push_back(std::move(line));
    }
    return lines;
}

/// Calls \a replay with the file name and the lines of each trace in \a library/traces, in no
/// particular order. Fails the test if there is none.
template<typename F>
void replayTraces(const std::string &library, F replay)
{
    std::size_t count = 0;
    const auto folder = std::filesystem::path(TRACES_ROOT) / library / "traces";
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        ++count;
        replay(entry.path().filename().string(), readTrace(entry.path()));
    }
    CHECK_TRUE(count > 0);
}
