#pragma once

#include "agent/backendcall.h"

#include <string>
#include <string_view>

namespace Agent {

/// Serializes a backend server's response for the caller, part by part. Not thread-safe.
class ResponseWriter
{
public:
    /// \a hasBody is false for responses to HEAD. \a keepAlive selects the Connection header:
    /// keep-alive or close.
    ResponseWriter(bool hasBody, bool keepAlive);

    /// Returns a writer for the rest of a chunked response whose head another agent sent.
    static ResponseWriter resumed();

    /// Returns the status line and the headers. Precedes body() and end(), which depend on \a head.
    std::string head(const ResponseHead &head);

    /// Returns the next part of the body, as a chunk if the head gave no length.
    std::string body(std::string_view part) const;

    /// Returns the bytes that end the response; empty unless it is chunked.
    std::string end() const;

    bool keepAlive() const { return keepAlive_; }

private:
    bool hasBody_;
    bool keepAlive_;
    bool isChunked_ = false;
};

} // namespace Agent
