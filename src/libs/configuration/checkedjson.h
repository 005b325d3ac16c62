#pragma once

#include "model/endpoint.h"

#include <boost/leaf/result.hpp>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

/// Settings, questionnaires and generated configurations, each checked with file, line and key.
namespace Configuration {

enum class Problem {
    Unreadable,  ///< the file can't be opened
    Syntax,      ///< no JSON with comments
    UnknownKey,  ///< a key that nothing reads
    MissingKey,  ///< a required key is not there
    WrongType,   ///< the value has another type
    OutOfRange,  ///< the value is outside its limits
    BadAddress,  ///< the value is no IPv4 address, or has no port
    UnknownName, ///< the value is none of the allowed names
    Duplicate,   ///< the name or address stands twice
};

/// Returns a sentence for \a problem. Thread-safe.
const char *problemText(Problem problem);

/// Why a file was refused, and where.
struct FileError
{
    Problem problem{};
    std::string file;
    std::size_t line = 0;          ///< from 1; 0 where the file as a whole is meant
    std::string key;               ///< JSON pointer
    std::string detail;            ///< value or limits, may be empty
    std::vector<FileError> others; ///< further problems of the same file, by line
};

/// Writes \a error as "file:line: key: problem (detail)", and each further problem on a line of its
/// own. Thread-safe.
std::string errorText(const FileError &error);

/// Parsed JSON with comments that knows the line of each value.
class Document
{
public:
    /// Parses \a text, which stands in \a file. Comments may be // or /* */.
    static boost::leaf::result<Document> parse(std::string file, std::string_view text);

    /// Reads and parses the file at \a path.
    static boost::leaf::result<Document> load(const std::string &path);

    const nlohmann::json &root() const { return root_; }
    const std::string &file() const { return file_; }

    /// Returns the line of the value at \a pointer, or that of the nearest value around it.
    std::size_t lineOf(std::string pointer) const;

private:
    std::string file_;
    nlohmann::json root_;
    std::map<std::string, std::size_t> lines_;
};

/// Reads the members of one JSON object and notes the problems.
///
/// Reading methods return a default value after a problem, so that a reader asks for problem() once
/// at the end. Not thread-safe.
class ObjectReader
{
public:
    /// Reads the root object of \a document, which must outlive the reader.
    explicit ObjectReader(const Document &document);

    std::string string(const std::string &key);
    std::string stringOr(const std::string &key, std::string fallback);
    std::int64_t integer(const std::string &key, std::int64_t least, std::int64_t most);
    std::int64_t integerOr(const std::string &key, std::int64_t least, std::int64_t most,
                           std::int64_t fallback);
    bool boolean(const std::string &key);
    double number(const std::string &key, double least, double most);
    Model::Endpoint endpoint(const std::string &key);
    std::vector<std::string> strings(const std::string &key);
    std::vector<std::string> optionalStrings(const std::string &key);
    std::vector<Model::Endpoint> optionalEndpoints(const std::string &key);

    /// Returns the index of the string at \a key among \a names.
    std::size_t choice(const std::string &key, const std::vector<std::string> &names);

    /// Checks that an object stands at \a key; its members are read by a reader of their own.
    void object(const std::string &key);

    /// Returns readers of the objects in the array at \a key, which must not be empty.
    std::vector<ObjectReader> objects(const std::string &key);

    bool has(const std::string &key) const;

    /// Notes a problem with the value at \a key that only the caller can see.
    void reportProblem(const std::string &key, Problem problem, std::string detail = {});

    /// Returns the first problem of this reader and those made from it, unread keys included, with
    /// the others in it. An unread key is compared with those that were asked for.
    std::optional<FileError> problem();

    /// Returns the problem that was noted first, if any; unread keys are no problem yet.
    std::optional<FileError> firstProblem() const;

private:
    struct Report
    {
        std::vector<FileError> problems; ///< as they were found
    };

    ObjectReader(const Document &document, const nlohmann::json &object, std::string pointer,
                 std::shared_ptr<Report> report);

    const nlohmann::json *member(const std::string &key, bool required);
    void report(const std::string &pointer, Problem problem, std::string detail);
    std::string nearestKey(const std::string &key) const;

    const Document *document_;
    const nlohmann::json *object_;
    std::string pointer_;
    std::set<std::string> read_;
    std::shared_ptr<Report> report_;
};

} // namespace Configuration
