#pragma once

#include "configuration/checkedjson.h"
#include "model/service.h"

namespace Configuration {

/// Writes \a configuration as the platform keeps it. Thread-safe.
nlohmann::json encodeConfiguration(const Model::Configuration &configuration);

/// Reads a configuration in the form of encodeConfiguration(), with all checks.
/// Fails with FileError.
boost::leaf::result<Model::Configuration> decodeConfiguration(const Document &document);

} // namespace Configuration
