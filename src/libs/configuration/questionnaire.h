#pragma once

#include "configuration/checkedjson.h"
#include "model/service.h"

namespace Configuration {

/// Checks the answers in \a document and generates the configuration from them, with generation 0.
/// Fails with FileError, also where two answers clash.
boost::leaf::result<Model::Configuration> generateConfiguration(const Document &document);

/// Returns a questionnaire with comments to fill in.
std::string_view questionnaireTemplate();

} // namespace Configuration
