#include "observability/log.h"

#include <fmt/chrono.h>

#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

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
    std::atomic<std::uint64_t> omitted_ = 0;
    std::thread thread_;
};

/// Rate limit of decision lines.
class DecisionLineLimiter
{
public:
    bool tryAcquire()
    {
        const auto now = std::chrono::steady_clock::now();
        const std::lock_guard guard(mutex_);
        if (now - since_ >= std::chrono::seconds(1)) {
            since_ = now;
            acquired_ = 0;
        }
        return ++acquired_ <= MaxDecisionLinesPerSecond;
    }

private:
    std::mutex mutex_;
    std::chrono::steady_clock::time_point since_;
    std::uint32_t acquired_ = 0;
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

void flushLog()
{
    writer().finish();
}

void logDecisionLine(Level level, std::string_view event, std::initializer_list<Field> fields)
{
    static DecisionLineLimiter limiter;
    if (limiter.tryAcquire())
        log(level, event, fields);
    else
        writer().countOmitted();
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
    writer().add(std::move(line));
}

} // namespace Observability
