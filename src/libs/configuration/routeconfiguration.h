#pragma once

#include "configuration/checkedjson.h"
#include "model/service.h"

namespace Configuration {

/// Writes the routes and services of \a configuration, as balancers hand it on. Thread-safe.
nlohmann::json encodeRoutes(const Model::Configuration &configuration);

/// Reads what encodeRoutes() wrote. Fails with FileError. Thread-safe.
boost::leaf::result<Model::Configuration> decodeRoutes(const Document &document);

} // namespace Configuration
