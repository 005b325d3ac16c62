#pragma once

#include "model/identity.h"

#include <optional>
#include <string>
#include <string_view>

/// Discovery of instances and detection of failed ones.
namespace Membership {

/// Prefix of the platform keys of the agents' announcements.
constexpr std::string_view InstancePrefix = "instances/";

/// Platform key of the accepted configuration.
constexpr std::string_view ConfigurationKey = "configuration";

/// Returns the platform key of the announcement of the instance called \a name. Thread-safe.
std::string instanceKey(std::string_view name);

/// Returns the JSON text that announces \a instance on the platform. Thread-safe.
std::string encodeAnnouncement(const Model::Instance &instance);

/// Parses an announcement. Returns nothing if \a value is not a valid announcement. Thread-safe.
std::optional<Model::Instance> decodeAnnouncement(const std::string &value);

} // namespace Membership
