#pragma once

#include "configuration/checkedjson.h"
#include "model/service.h"

namespace Configuration {

/// Returns \a configuration in the format of the platform's configuration object. Thread-safe.
nlohmann::json encodeConfiguration(const Model::Configuration &configuration);

/// Parses and checks a configuration in the format of encodeConfiguration(). Fails with FileError.
/// Thread-safe.
boost::leaf::result<Model::Configuration> decodeConfiguration(const Document &document);

} // namespace Configuration
