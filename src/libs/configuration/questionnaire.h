#pragma once

#include "configuration/checkedjson.h"
#include "model/service.h"

namespace Configuration {

/// Checks the answers in \a document and generates the configuration from them, with generation 0.
/// Fails with FileError, also if two answers conflict. Thread-safe.
boost::leaf::result<Model::Configuration> generateConfiguration(const Document &document);

/// Returns a commented example questionnaire to fill in, which is valid itself. Thread-safe.
std::string_view questionnaireTemplate();

} // namespace Configuration
