#pragma once

#include "model/endpoint.h"

#include <nlohmann/json_fwd.hpp>
#include <prometheus/collectable.h>

#include <functional>
#include <memory>
#include <string>

namespace Observability {

/// HTTP server of one process. Serves /metrics for Prometheus, /state for a state dump, and
/// /snapshot for peers that start while the platform is unavailable.
class AdminServer
{
public:
    /// Returns the content of a page as JSON. Called on the server's threads, possibly at the same
    /// time.
    using PageProvider = std::function<nlohmann::json()>;

    /// Starts the server at \a endpoint. Throws Poco::Exception if it can't be bound.
    AdminServer(const Model::Endpoint &endpoint, std::shared_ptr<prometheus::Collectable> metrics,
                PageProvider state, PageProvider snapshot);
    ~AdminServer();
    AdminServer(const AdminServer &) = delete;
    AdminServer &operator=(const AdminServer &) = delete;

private:
    class Server;
    std::unique_ptr<Server> server_;
};

} // namespace Observability
