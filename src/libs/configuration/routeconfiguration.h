#pragma once

#include "configuration/checkedjson.h"
#include "model/service.h"

namespace Configuration {

/// Returns the generation, services, routes and idle flow timeout of \a configuration, in the
/// format in which balancers send them to peers. Thread-safe.
nlohmann::json encodeRoutes(const Model::Configuration &configuration);

/// Parses and checks a configuration in the format of encodeRoutes(). Fails with FileError.
/// Thread-safe.
boost::leaf::result<Model::Configuration> decodeRoutes(const Document &document);

} // namespace Configuration
