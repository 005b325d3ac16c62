#include "configuration/checkedjson.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iterator>
#include <limits>
#include <numeric>
#include <sstream>

namespace Configuration {

const char *problemText(Problem problem)
{
    switch (problem) {
    case Problem::Unreadable:
        return "can't be read";
    case Problem::Syntax:
        return "not valid JSON with comments";
    case Problem::UnknownKey:
        return "unknown key";
    case Problem::MissingKey:
        return "missing key";
    case Problem::WrongType:
        return "wrong type";
    case Problem::OutOfRange:
        return "out of range";
    case Problem::BadAddress:
        return "not an IPv4 address with port";
    case Problem::UnknownName:
        return "unknown name";
    case Problem::Duplicate:
        return "duplicate value";
    }
    return "unknown problem";
}

std::string errorText(const FileError &error)
{
    std::string text = error.file;
    if (error.line > 0)
        text += fmt::format(":{}", error.line);
    if (!error.key.empty())
        text += ": " + error.key;
    text += std::string(": ") + problemText(error.problem);
    if (!error.detail.empty())
        text += " (" + error.detail + ')';
    for (const FileError &other : error.others)
        text += '\n' + errorText(other);
    return text;
}

namespace {

/// Input iterator that counts line breaks.
class LineCountingIterator
{
public:
    using iterator_category = std::input_iterator_tag;
    using value_type = char;
    using difference_type = std::ptrdiff_t;
    using pointer = const char *;
    using reference = const char &;

    LineCountingIterator(const char *position, std::size_t *line)
        : position_(position)
        , line_(line)
    {}

    reference operator*() const { return *position_; }
    LineCountingIterator &operator++()
    {
        if (*position_ == '\n')
            ++*line_;
        ++position_;
        return *this;
    }
    LineCountingIterator operator++(int)
    {
        LineCountingIterator before = *this;
        ++*this;
        return before;
    }
    bool operator==(const LineCountingIterator &other) const
    {
        return position_ == other.position_;
    }
    bool operator!=(const LineCountingIterator &other) const { return !(*this == other); }

private:
    const char *position_;
    std::size_t *line_;
};

/// Records the line at which each scalar ends and each object or array begins.
class LineRecorder : public nlohmann::json_sax<nlohmann::json>
{
public:
    LineRecorder(std::size_t *line, std::map<std::string, std::size_t> *lines)
        : line_(line)
        , lines_(lines)
    {}

    bool null() override { return scalar(); }
    bool boolean(bool) override { return scalar(); }
    bool number_integer(number_integer_t) override { return scalar(); }
    bool number_unsigned(number_unsigned_t) override { return scalar(); }
    bool number_float(number_float_t, const string_t &) override { return scalar(); }
    bool string(string_t &) override { return scalar(); }
    bool binary(binary_t &) override { return scalar(); }
    bool start_object(std::size_t) override { return beginContainer(); }
    bool end_object() override { return endValue(); }
    bool start_array(std::size_t) override
    {
        beginContainer();
        path_.push_back({true, "0", 0});
        return true;
    }
    bool end_array() override
    {
        path_.pop_back();
        return endValue();
    }
    bool key(string_t &name) override
    {
        path_.push_back({false, name, 0});
        return true;
    }
    bool parse_error(std::size_t, const std::string &, const nlohmann::json::exception &) override
    {
        return false;
    }

private:
    struct Step
    {
        bool isElement;
        std::string name;
        std::size_t index;
    };

    bool beginContainer()
    {
        recordLine();
        return true;
    }

    bool scalar()
    {
        recordLine();
        return endValue();
    }

    void recordLine()
    {
        std::string pointer;
        for (const Step &step : path_)
            pointer += '/' + step.name;
        lines_->emplace(pointer, *line_);
    }

    bool endValue()
    {
        if (path_.empty())
            return true;
        if (!path_.back().isElement) {
            path_.pop_back();
            return true;
        }
        ++path_.back().index;
        path_.back().name = std::to_string(path_.back().index);
        return true;
    }

    std::size_t *line_;
    std::map<std::string, std::size_t> *lines_;
    std::vector<Step> path_;
};

} // namespace

boost::leaf::result<Document> Document::parse(std::string file, std::string_view text)
{
    Document document;
    document.file_ = std::move(file);
    std::size_t line = 1;
    try {
        document.root_ = nlohmann::json::parse(text, nullptr, true, true);
    } catch (const nlohmann::json::parse_error &error) {
        const std::size_t end = std::min(error.byte, text.size());
        line += std::size_t(std::count(text.begin(), text.begin() + std::ptrdiff_t(end), '\n'));
        return boost::leaf::new_error(FileError{Problem::Syntax, document.file_, line, {}, {}, {}});
    }
    LineRecorder recorder(&line, &document.lines_);
    nlohmann::json::sax_parse(LineCountingIterator(text.data(), &line),
                              LineCountingIterator(text.data() + text.size(), &line), &recorder,
                              nlohmann::json::input_format_t::json, true, true);
    return document;
}

boost::leaf::result<Document> Document::load(const std::string &path)
{
    std::ifstream stream(path, std::ios::binary);
    if (!stream)
        return boost::leaf::new_error(FileError{Problem::Unreadable, path, 0, {}, {}, {}});
    std::ostringstream content;
    content << stream.rdbuf();
    return parse(path, content.str());
}

std::size_t Document::lineOf(std::string pointer) const
{
    while (true) {
        if (const auto line = lines_.find(pointer); line != lines_.end())
            return line->second;
        const auto slash = pointer.rfind('/');
        if (slash == std::string::npos)
            return 1;
        pointer.erase(slash);
    }
}

/// Maximum edit distance between an unknown key and the key that is suggested for it.
static constexpr std::size_t MaxTypos = 3;

ObjectReader::ObjectReader(const Document &document)
    : ObjectReader(document, document.root(), {}, std::make_shared<ProblemList>())
{}

ObjectReader::ObjectReader(const Document &document, const nlohmann::json &object,
                           std::string pointer, std::shared_ptr<ProblemList> problemList)
    : document_(&document)
    , object_(&object)
    , pointer_(std::move(pointer))
    , problemList_(std::move(problemList))
{
    if (!object.is_object())
        this->addProblem(pointer_, Problem::WrongType, "an object is expected");
}

bool ObjectReader::has(const std::string &key) const
{
    return object_->is_object() && object_->contains(key);
}

const nlohmann::json *ObjectReader::member(const std::string &key, bool required)
{
    read_.insert(key);
    if (has(key))
        return &(*object_)[key];
    if (required && object_->is_object())
        addProblem(pointer_ + '/' + key, Problem::MissingKey, {});
    return nullptr;
}

void ObjectReader::addProblem(const std::string &pointer, Problem problem, std::string detail)
{
    const auto isSame = [&pointer](const FileError &known) { return known.key == pointer; };
    auto &problems = problemList_->problems;
    if (std::none_of(problems.begin(), problems.end(), isSame))
        problems.push_back({problem,
                            document_->file(),
                            document_->lineOf(pointer),
                            pointer,
                            std::move(detail),
                            {}});
}

void ObjectReader::reportProblem(const std::string &key, Problem problem, std::string detail)
{
    addProblem(pointer_ + '/' + key, problem, std::move(detail));
}

std::string ObjectReader::string(const std::string &key)
{
    const nlohmann::json *const value = member(key, true);
    if (!value)
        return {};
    if (!value->is_string()) {
        reportProblem(key, Problem::WrongType, "a string is expected");
        return {};
    }
    auto text = value->get<std::string>();
    if (text.empty())
        reportProblem(key, Problem::OutOfRange, "must not be empty");
    return text;
}

std::string ObjectReader::stringOr(const std::string &key, std::string fallback)
{
    read_.insert(key);
    return has(key) ? string(key) : std::move(fallback);
}

std::int64_t ObjectReader::integer(const std::string &key, std::int64_t min, std::int64_t max)
{
    const nlohmann::json *const value = member(key, true);
    if (!value)
        return min;
    if (!value->is_number_integer()) {
        reportProblem(key, Problem::WrongType, "an integer is expected");
        return min;
    }
    const bool tooLarge =
        value->is_number_unsigned()
        && value->get<std::uint64_t>() > std::uint64_t(std::numeric_limits<std::int64_t>::max());
    if (tooLarge || value->get<std::int64_t>() < min || value->get<std::int64_t>() > max) {
        reportProblem(key, Problem::OutOfRange, fmt::format("from {} to {}", min, max));
        return min;
    }
    return value->get<std::int64_t>();
}

std::int64_t ObjectReader::integerOr(const std::string &key, std::int64_t min, std::int64_t max,
                                     std::int64_t fallback)
{
    read_.insert(key);
    return has(key) ? integer(key, min, max) : fallback;
}

bool ObjectReader::boolean(const std::string &key)
{
    const nlohmann::json *const value = member(key, true);
    if (value && !value->is_boolean())
        reportProblem(key, Problem::WrongType, "true or false is expected");
    return value && value->is_boolean() && value->get<bool>();
}

bool ObjectReader::booleanOr(const std::string &key, bool fallback)
{
    read_.insert(key);
    return has(key) ? boolean(key) : fallback;
}

double ObjectReader::number(const std::string &key, double min, double max)
{
    const nlohmann::json *const value = member(key, true);
    if (!value)
        return min;
    if (!value->is_number()) {
        reportProblem(key, Problem::WrongType, "a number is expected");
        return min;
    }
    const auto number = value->get<double>();
    if (!std::isfinite(number) || number < min || number > max) {
        reportProblem(key, Problem::OutOfRange, fmt::format("from {} to {}", min, max));
        return min;
    }
    return number;
}

Model::Endpoint ObjectReader::endpoint(const std::string &key)
{
    const std::string text = string(key);
    if (text.empty())
        return {};
    const auto endpoint = Model::parseEndpoint(text);
    if (!endpoint || !endpoint->isValid()) {
        reportProblem(key, Problem::BadAddress, text);
        return {};
    }
    return *endpoint;
}

std::vector<std::string> ObjectReader::strings(const std::string &key)
{
    const nlohmann::json *const value = member(key, true);
    if (!value)
        return {};
    const bool isListOfStrings =
        value->is_array() && std::all_of(value->begin(), value->end(), [](const auto &element) {
            return element.is_string();
        });
    if (!isListOfStrings) {
        reportProblem(key, Problem::WrongType, "a list of strings is expected");
        return {};
    }
    return value->get<std::vector<std::string>>();
}

std::vector<std::string> ObjectReader::optionalStrings(const std::string &key)
{
    read_.insert(key);
    return has(key) ? strings(key) : std::vector<std::string>();
}

std::vector<Model::Endpoint> ObjectReader::optionalEndpoints(const std::string &key)
{
    std::vector<Model::Endpoint> endpoints;
    for (const std::string &text : optionalStrings(key)) {
        const auto endpoint = Model::parseEndpoint(text);
        if (!endpoint || !endpoint->isValid()) {
            reportProblem(key, Problem::BadAddress, text);
            return {};
        }
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

std::size_t ObjectReader::choice(const std::string &key, const std::vector<std::string> &names)
{
    const std::string text = string(key);
    const auto name = std::find(names.begin(), names.end(), text);
    if (name != names.end())
        return std::size_t(name - names.begin());
    reportProblem(key, Problem::UnknownName, fmt::format("one of: {}", fmt::join(names, ", ")));
    return 0;
}

void ObjectReader::object(const std::string &key)
{
    const nlohmann::json *const value = member(key, true);
    if (value && !value->is_object())
        reportProblem(key, Problem::WrongType, "an object is expected");
}

std::vector<ObjectReader> ObjectReader::objects(const std::string &key)
{
    const nlohmann::json *const value = member(key, true);
    if (!value)
        return {};
    if (!value->is_array()) {
        reportProblem(key, Problem::WrongType, "a list of objects is expected");
        return {};
    }
    if (value->empty())
        reportProblem(key, Problem::OutOfRange, "must not be empty");
    std::vector<ObjectReader> readers;
    for (std::size_t index = 0; index < value->size(); ++index) {
        const std::string pointer = fmt::format("{}/{}/{}", pointer_, key, index);
        readers.push_back(ObjectReader(*document_, (*value)[index], pointer, problemList_));
    }
    return readers;
}

std::optional<FileError> ObjectReader::problem()
{
    if (object_->is_object()) {
        for (const auto &[key, value] : object_->items()) {
            if (read_.contains(key))
                continue;
            const std::string nearest = nearestKey(key);
            reportProblem(key, Problem::UnknownKey,
                          nearest.empty() ? "" : "did you mean " + nearest + "?");
        }
    }
    if (problemList_->problems.empty())
        return std::nullopt;
    FileError first = problemList_->problems.front();
    first.others.assign(problemList_->problems.begin() + 1, problemList_->problems.end());
    std::stable_sort(first.others.begin(), first.others.end(),
                     [](const auto &left, const auto &right) { return left.line < right.line; });
    return first;
}

std::optional<FileError> ObjectReader::firstProblem() const
{
    return problemList_->problems.empty() ? std::nullopt
                                          : std::optional(problemList_->problems.front());
}

/// Returns the Levenshtein distance of \a left and \a right.
static std::size_t editDistance(const std::string &left, const std::string &right)
{
    std::vector<std::size_t> row(right.size() + 1);
    std::iota(row.begin(), row.end(), 0);
    for (std::size_t i = 1; i <= left.size(); ++i) {
        std::size_t diagonal = row[0]++;
        for (std::size_t j = 1; j <= right.size(); ++j) {
            const std::size_t changed = diagonal + (left[i - 1] == right[j - 1] ? 0 : 1);
            diagonal = row[j];
            row[j] = std::min({changed, row[j] + 1, row[j - 1] + 1});
        }
    }
    return row.back();
}

/// Returns the missing key that is most similar to \a key; empty if none is similar enough.
std::string ObjectReader::nearestKey(const std::string &key) const
{
    std::string nearest;
    std::size_t best = MaxTypos + 1;
    for (const std::string &known : read_) {
        if (const auto distance = editDistance(key, known); distance < best && !has(known)) {
            nearest = known;
            best = distance;
        }
    }
    return nearest;
}

} // namespace Configuration
