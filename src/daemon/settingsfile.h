#pragma once

#include "configuration/settings.h"

#include <filesystem>
#include <optional>
#include <string>

namespace Daemon {

/// The settings file of a running process, reloaded after a signal or a change.
///
/// Not thread-safe.
class SettingsFile
{
public:
    explicit SettingsFile(std::string path);

    /// Returns the settings if the file changed since the last call and is valid. Logs the error
    /// and returns nothing if it is invalid; it is then not read again until its next change.
    std::optional<Configuration::Settings> readIfChanged();

    /// Makes the next readIfChanged() read the file even if its modification time is unchanged.
    void invalidate() { lastWrite_ = {}; }

private:
    std::string path_;
    std::filesystem::file_time_type lastWrite_;
};

} // namespace Daemon
