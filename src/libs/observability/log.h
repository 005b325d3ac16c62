#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

/// Logs, metrics and state dumps.
namespace Observability {

enum class Level { Debug, Info, Warning, Error };

/// Returns the level called \a name, if there is one. Thread-safe.
std::optional<Level> levelFromName(std::string_view name);

/// Lines below \a level are left out from now on. Thread-safe.
void setLogLevel(Level level);

/// A named value of a log line.
struct Field
{
    template<typename T>
    Field(std::string_view fieldName, const T &fieldValue)
        : name(fieldName)
        , value(fmt::format("{}", fieldValue))
    {}

    std::string_view name;
    std::string value;
};

/// Lines that may wait to be written; more are left out and counted.
constexpr std::size_t MaxQueuedLines = 4096;

/// Decision lines a second; more are left out and counted. A standard instance places fewer flows.
constexpr std::uint32_t MaxDecisionLinesPerSecond = 200;

/// Writes one line to standard output: time, level, event and fields as key=value. A thread of its
/// own writes, so that a reader that stands still delays nobody. Thread-safe.
void log(Level level, std::string_view event, std::initializer_list<Field> fields = {});

/// Does the same for a decision on one flow or request, as far as MaxDecisionLinesPerSecond allows.
void logDecisionLine(Level level, std::string_view event, std::initializer_list<Field> fields);

/// Returns the lines that were left out so far. Thread-safe.
std::uint64_t omittedLogLines();

/// Waits until all lines are written. Called at the end of a process.
void flushLog();

} // namespace Observability
