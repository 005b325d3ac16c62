#pragma once

#include "model/endpoint.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace Poco::Net {
class HTTPServer;
class HTTPServerRequest;
class HTTPServerResponse;
} // namespace Poco::Net

/// Stand-ins for the outside systems: platform, fabric, backend server and callers.
namespace Standins {

/// Serves \a handle at \a endpoint on up to \a threads threads until the result is destroyed.
std::shared_ptr<Poco::Net::HTTPServer> serveHttp(
    const Model::Endpoint &endpoint, int threads,
    std::function<void(Poco::Net::HTTPServerRequest &, Poco::Net::HTTPServerResponse &)> handle);

/// Sends \a json with \a status.
void sendJson(Poco::Net::HTTPServerResponse &response, int status, const nlohmann::json &json);

/// Returns the parameters of a request's query.
std::map<std::string, std::string> queryOf(const Poco::Net::HTTPServerRequest &request);

/// Returns the whole body of a request.
std::string bodyOf(Poco::Net::HTTPServerRequest &request);

/// Waits for SIGTERM or SIGINT. Precondition: both are blocked.
void waitForStop();

/// Each runs one stand-in until it is stopped; the flags say how. Returns the exit status.
int runPlatform();
int runFabric();
int runBackendServer();
int runCaller();

} // namespace Standins
