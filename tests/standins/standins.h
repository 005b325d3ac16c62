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

/// Stand-ins for the external systems: platform, fabric, backend server and callers.
namespace Standins {

/// Starts an HTTP server at \a endpoint that calls \a handle on up to \a threads threads. It stops
/// when the result is destroyed. Throws Poco::Exception if \a endpoint can't be bound.
std::shared_ptr<Poco::Net::HTTPServer> serveHttp(
    const Model::Endpoint &endpoint, int threads,
    std::function<void(Poco::Net::HTTPServerRequest &, Poco::Net::HTTPServerResponse &)> handle);

/// Sends \a json as the body of a response with the HTTP \a status.
void sendJson(Poco::Net::HTTPServerResponse &response, int status, const nlohmann::json &json);

/// Returns the query parameters of \a request; of several with the same name, the last one.
std::map<std::string, std::string> queryParameters(const Poco::Net::HTTPServerRequest &request);

/// Reads the whole body of \a request.
std::string readBody(Poco::Net::HTTPServerRequest &request);

/// Blocks until SIGTERM or SIGINT arrives. Precondition: both are blocked in all threads.
void waitForStopSignal();

// Each of these functions runs one stand-in as configured by its flags. runCaller() sends requests
// for --caller_seconds and then waits for pending orders and manifests; the others run until
// SIGTERM or SIGINT. All of them return exit status 2 if a flag is malformed, and otherwise end the
// process with status 0.
int runPlatform();
int runFabric();
int runBackendServer();
int runCaller();

} // namespace Standins
