#include "requests/eventstreamsplitter.h"

namespace Requests {

static constexpr std::string_view IdField = "id:";

/// Returns the offset of the end of the last complete event in \a text, or 0 if there is none.
/// Lines end with LF or CRLF.
static std::size_t lastEventEnd(std::string_view text)
{
    std::size_t end = 0;
    if (const auto blank = text.rfind("\n\n"); blank != std::string_view::npos)
        end = blank + 2;
    if (const auto blank = text.rfind("\n\r\n"); blank != std::string_view::npos)
        end = std::max(end, blank + 3);
    return end;
}

std::string EventStreamSplitter::append(std::string_view bytes)
{
    partial_.append(bytes);
    const std::size_t end = lastEventEnd(partial_);
    std::string events = partial_.substr(0, end);
    partial_.erase(0, end);
    recordEventIds(events);
    return events;
}

void EventStreamSplitter::recordEventIds(std::string_view events)
{
    while (!events.empty()) {
        const auto lineEnd = events.find('\n');
        std::string_view line = events.substr(0, lineEnd);
        events.remove_prefix(lineEnd == std::string_view::npos ? events.size() : lineEnd + 1);
        if (!line.starts_with(IdField))
            continue;
        line.remove_prefix(IdField.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        lastEventId_ = line;
    }
}

} // namespace Requests
