#include "observability/log.h"

#include <fmt/chrono.h>

#include <atomic>
#include <chrono>
#include <cstdio>

namespace Observability {

static std::atomic<Level> threshold = Level::Info;

static const char *levelText(Level level)
{
    switch (level) {
    case Level::Debug:
        return "debug";
    case Level::Info:
        return "info";
    case Level::Warning:
        return "warning";
    case Level::Error:
        return "error";
    }
    return "unknown";
}

std::optional<Level> levelNamed(std::string_view name)
{
    for (const Level level : {Level::Debug, Level::Info, Level::Warning, Level::Error}) {
        if (name == levelText(level))
            return level;
    }
    return std::nullopt;
}

void setLogLevel(Level level)
{
    threshold = level;
}

static std::string quoted(const std::string &value)
{
    if (!value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos)
        return value;
    std::string text = "\"";
    for (const char character : value) {
        if (character == '"' || character == '\\')
            text += '\\';
        text += character == '\n' || character == '\r' ? ' ' : character;
    }
    return text + '"';
}

void log(Level level, std::string_view event, std::initializer_list<Field> fields)
{
    if (level < threshold)
        return;
    const auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    std::string line = fmt::format("{:%Y-%m-%dT%H:%M:}{:%S}Z {} {}",
                                   fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                                   now.time_since_epoch(), levelText(level), event);
    for (const Field &field : fields)
        line += fmt::format(" {}={}", field.name, quoted(field.value));
    line += '\n';
    fmt::print(stderr, "{}", line);
}

} // namespace Observability
