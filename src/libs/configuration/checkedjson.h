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

/// Settings, questionnaires and generated configurations. Errors name the file, line and key.
namespace Configuration {

enum class Problem {
    Unreadable,  ///< the file can't be opened
    Syntax,      ///< the file is not valid JSON, even with comments allowed
    UnknownKey,  ///< the key is not used
    MissingKey,  ///< a required key is missing
    WrongType,   ///< the value has the wrong type
    OutOfRange,  ///< the value is outside its limits
    BadAddress,  ///< the value is not an IPv4 address with a port
    UnknownName, ///< the value is not one of the allowed names
    Duplicate,   ///< the name or address is used more than once
};

/// Returns a short description of \a problem for error messages. Thread-safe.
const char *problemText(Problem problem);

/// Why and where a file is invalid.
struct FileError
{
    Problem problem{};
    std::string file;
    std::size_t line = 0;          ///< from 1; 0 if the error concerns the whole file
    std::string key;               ///< JSON pointer; may be empty
    std::string detail;            ///< value, limits or expected type; may be empty
    std::vector<FileError> others; ///< further problems of the same file, ordered by line
};

/// Returns \a error as "file:line: key: problem (detail)", with each further problem on its own
/// line. Thread-safe.
std::string errorText(const FileError &error);

/// Parsed JSON with comments, and the line of each value.
class Document
{
public:
    /// Parses \a text, the content of \a file. // and /* */ comments are allowed. Fails with
    /// FileError. Thread-safe.
    static boost::leaf::result<Document> parse(std::string file, std::string_view text);

    /// Reads and parses the file at \a path. Fails with FileError. Thread-safe.
    static boost::leaf::result<Document> load(const std::string &path);

    const nlohmann::json &root() const { return root_; }
    const std::string &file() const { return file_; }

    /// Returns the line, from 1, of the value at the JSON \a pointer; if there is no such value,
    /// that of the innermost existing value that would contain it.
    std::size_t lineOf(std::string pointer) const;

private:
    std::string file_;
    nlohmann::json root_;
    std::map<std::string, std::size_t> lines_;
};

/// Reads the members of one JSON object and collects the problems.
///
/// After a problem, the reading methods return a default value, so that problem() needs to be
/// called only once, at the end. Not thread-safe.
class ObjectReader
{
public:
    /// Reads the root object of \a document, which must outlive the reader.
    explicit ObjectReader(const Document &document);

    /// The following methods return the value at \a key. A missing key is a problem unless there is
    /// a \a fallback. Strings must not be empty; \a min and \a max are inclusive; endpoints must
    /// have a port.
    std::string string(const std::string &key);
    std::string stringOr(const std::string &key, std::string fallback);
    std::int64_t integer(const std::string &key, std::int64_t min, std::int64_t max);
    std::int64_t integerOr(const std::string &key, std::int64_t min, std::int64_t max,
                           std::int64_t fallback);
    bool boolean(const std::string &key);
    bool booleanOr(const std::string &key, bool fallback);
    double number(const std::string &key, double min, double max);
    Model::Endpoint endpoint(const std::string &key);
    std::vector<std::string> strings(const std::string &key);

    /// Return the list at \a key; an empty one if the key is missing.
    std::vector<std::string> optionalStrings(const std::string &key);
    std::vector<Model::Endpoint> optionalEndpoints(const std::string &key);

    /// Returns the index in \a names of the required string at \a key.
    std::size_t choice(const std::string &key, const std::vector<std::string> &names);

    /// Checks that the value at \a key is an object. Its members are not checked.
    void object(const std::string &key);

    /// Returns readers for the objects in the array at \a key, which must not be empty. They report
    /// to this reader's problem(), except for unknown keys: those need a call of their own
    /// problem().
    std::vector<ObjectReader> objects(const std::string &key);

    /// Whether the object has a member called \a key.
    bool has(const std::string &key) const;

    /// Adds a problem with the value at \a key that the caller found. Only the first problem of a
    /// value is kept.
    void reportProblem(const std::string &key, Problem problem, std::string detail = {});

    /// Reports the object's unread keys as unknown, and returns the first problem of the document,
    /// with the others in FileError::others; nothing if there is none. For an unread key that is
    /// similar to a missing one, the latter is suggested.
    std::optional<FileError> problem();

    /// Returns the problem that was found first, if any, without checking for unknown keys.
    std::optional<FileError> firstProblem() const;

private:
    struct ProblemList
    {
        std::vector<FileError> problems; ///< in the order in which they were found
    };

    ObjectReader(const Document &document, const nlohmann::json &object, std::string pointer,
                 std::shared_ptr<ProblemList> problemList);

    const nlohmann::json *member(const std::string &key, bool required);
    void addProblem(const std::string &pointer, Problem problem, std::string detail);
    std::string nearestKey(const std::string &key) const;

    const Document *document_;
    const nlohmann::json *object_;
    std::string pointer_;
    std::set<std::string> read_;
    std::shared_ptr<ProblemList> problemList_;
};

} // namespace Configuration
