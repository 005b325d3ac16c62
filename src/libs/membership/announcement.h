#pragma once

#include "model/identity.h"

#include <optional>
#include <string>
#include <string_view>

/// Which instances there are, and which of them live.
namespace Membership {

/// Prefix of the keys under which agents announce themselves on the platform.
constexpr std::string_view InstancePrefix = "instances/";

/// Key of the accepted configuration on the platform.
constexpr std::string_view ConfigurationKey = "configuration";

/// Returns the key of the instance called \a name. Thread-safe.
std::string instanceKey(std::string_view name);

/// Writes \a instance as it stands on the platform. Thread-safe.
std::string encodeAnnouncement(const Model::Instance &instance);

/// Reads an announcement; nothing if \a value has another form. Thread-safe.
std::optional<Model::Instance> decodeAnnouncement(const std::string &value);

} // namespace Membership
