#include "observability/log.h"

#include "observability/decisionlinebudget.h"

#include <fmt/chrono.h>

#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

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

std::optional<Level> levelFromName(std::string_view name)
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

static std::string lineText(Level level, std::string_view event,
                            std::initializer_list<Field> fields)
{
    const auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    std::string line = fmt::format("{:%Y-%m-%dT%H:%M:}{:%S}Z {} {}",
                                   fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                                   now.time_since_epoch(), levelText(level), event);
    for (const Field &field : fields)
        line += fmt::format(" {}={}", field.name, quoted(field.value));
    line += '\n';
    return line;
}

namespace {

/// Queue of log lines, and the thread that writes them to standard output.
class LogWriter
{
public:
    ~LogWriter() { finish(); }

    void add(std::string line)
    {
        const std::lock_guard guard(mutex_);
        if (!thread_.joinable())
            thread_ = std::thread([this] { run(); });
        if (lines_.size() >= MaxQueuedLines) {
            ++omitted_;
            ++lostSinceWrite_;
            return;
        }
        lines_.push_back(std::move(line));
        if (lines_.size() == 1)
            added_.notify_one();
    }

    void countOmitted() { ++omitted_; }
    std::uint64_t omitted() const { return omitted_; }

    void finish()
    {
        {
            const std::lock_guard guard(mutex_);
            stopping_ = true;
        }
        added_.notify_one();
        if (thread_.joinable())
            thread_.join();
        stopping_ = false;
    }

private:
    void run()
    {
        std::unique_lock lock(mutex_);
        while (true) {
            added_.wait(lock, [this] { return stopping_ || !lines_.empty(); });
            if (lines_.empty())
                return;
            // Wait for further lines, to write them in the same call.
            added_.wait_for(lock, BatchDelay, [this] { return stopping_; });
            std::string text;
            for (const std::string &line : lines_)
                text += line;
            lines_.clear();
            if (const auto lost = std::exchange(lostSinceWrite_, 0); lost > 0)
                text += lineText(Level::Warning, "lines-lost", {{"count", lost}});
            lock.unlock();
            write(text);
            lock.lock();
        }
    }

    void write(std::string_view text)
    {
        while (!text.empty()) {
            const ssize_t written = ::write(STDOUT_FILENO, text.data(), text.size());
            if (written < 0 && errno == EINTR)
                continue;
            if (written <= 0) {
                ++omitted_;
                return;
            }
            text.remove_prefix(std::size_t(written));
        }
    }

    static constexpr std::chrono::milliseconds BatchDelay{100};

    std::mutex mutex_;
    std::condition_variable added_;
    std::deque<std::string> lines_;
    bool stopping_ = false;
    std::uint64_t lostSinceWrite_ = 0; ///< lines for which the queue had no room
    std::atomic<std::uint64_t> omitted_ = 0;
    std::thread thread_;
};

/// The budget of all threads.
class SharedBudget
{
public:
    bool tryAcquire(std::string_view event)
    {
        const std::lock_guard guard(mutex_);
        return budget_.tryAcquire(std::chrono::steady_clock::now(), event);
    }

    std::vector<DecisionLineBudget::Omission> takeOmissions(std::chrono::seconds ahead)
    {
        const std::lock_guard guard(mutex_);
        return budget_.takeOmissions(std::chrono::steady_clock::now() + ahead);
    }

private:
    std::mutex mutex_;
    DecisionLineBudget budget_;
};

} // namespace

static LogWriter &writer()
{
    static LogWriter instance;
    return instance;
}

std::uint64_t omittedLogLines()
{
    return writer().omitted();
}

static SharedBudget &budget()
{
    static SharedBudget instance;
    return instance;
}

/// Logs the omissions of the seconds that end within \a ahead.
static void logOmissions(std::chrono::seconds ahead)
{
    for (const auto &[event, count] : budget().takeOmissions(ahead))
        log(Level::Warning, "lines-omitted", {{"event", event}, {"count", count}});
}

void flushLog()
{
    logOmissions(std::chrono::seconds(1));
    writer().finish();
}

void logDecisionLine(Level level, std::string_view event, std::initializer_list<Field> fields)
{
    const bool isWithinBudget = budget().tryAcquire(event);
    logOmissions(std::chrono::seconds(0));
    if (isWithinBudget)
        log(level, event, fields);
    else
        writer().countOmitted();
}

void log(Level level, std::string_view event, std::initializer_list<Field> fields)
{
    if (level < threshold)
        return;
    writer().add(lineText(level, event, fields));
}

} // namespace Observability
