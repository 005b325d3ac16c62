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

/// Returns the level called \a name (debug, info, warning or error), or nothing. Thread-safe.
std::optional<Level> levelFromName(std::string_view name);

/// Sets the level below which lines are not logged from now on; initially Info. Thread-safe.
void setLogLevel(Level level);

/// A key and its value in a log line. \c name must stay valid until log() returns.
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

/// Maximum number of lines that are queued for writing; further lines are omitted and counted.
constexpr std::size_t MaxQueuedLines = 4096;

/// Logs one line to standard output: time (UTC), level, event, and fields as key=value. A separate
/// thread writes the lines, so that a blocked reader doesn't delay callers. Thread-safe.
void log(Level level, std::string_view event, std::initializer_list<Field> fields = {});

/// Does the same for a decision about one flow or request, within a DecisionLineBudget. For each
/// event with omitted lines, a line `lines-omitted` states their number within a second.
/// Thread-safe.
void logDecisionLine(Level level, std::string_view event, std::initializer_list<Field> fields);

/// Returns the number of lines that were omitted so far because of one of these limits or a failed
/// write. Thread-safe.
std::uint64_t omittedLogLines();

/// Logs the omissions of the last second, and waits until all queued lines are written. Called at
/// the end of a process.
void flushLog();

} // namespace Observability
