#pragma once

#include <fmt/format.h>

#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>

/// Logs, metrics and state dumps.
namespace Observability {

enum class Level { Debug, Info, Warning, Error };

/// Returns the level called \a name, if there is one. Thread-safe.
std::optional<Level> levelNamed(std::string_view name);

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

/// Writes one line to standard error: time, level, event and fields as key=value. Thread-safe.
void log(Level level, std::string_view event, std::initializer_list<Field> fields = {});

} // namespace Observability
