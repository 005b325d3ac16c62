#pragma once

#include "agent/backendcall.h"

#include <string>
#include <string_view>

namespace Agent {

/// Writes a backend server's answer in the form that the caller gets, part by part.
/// Not thread-safe.
class ResponseWriter
{
public:
    /// \a hasBody is false for answers to HEAD; \a keepsFlowOpen tells how the head ends.
    ResponseWriter(bool hasBody, bool keepsFlowOpen);

    /// Goes on with an answer whose head another agent wrote, in chunks.
    static ResponseWriter resumed();

    /// Returns the head.
    std::string head(const ResponseHead &head);

    /// Returns the next part of the body.
    std::string body(std::string_view part) const;

    /// Returns what ends the answer.
    std::string end() const;

    bool keepsFlowOpen() const { return keepsFlowOpen_; }

private:
    bool hasBody_;
    bool keepsFlowOpen_;
    bool isChunked_ = false;
};

} // namespace Agent
