#pragma once

#include "configuration/settings.h"

#include <filesystem>
#include <optional>
#include <string>

namespace Daemon {

/// The settings file of a running process, read again after a signal or a change.
///
/// Not thread-safe.
class SettingsFile
{
public:
    explicit SettingsFile(std::string path);

    /// Returns the settings if the file changed since the last call and can be read; a file with
    /// problems is logged and left alone.
    std::optional<Configuration::Settings> readIfChanged();

    /// Makes the next readIfChanged() read the file whatever its time says.
    void invalidate() { lastWrite_ = {}; }

private:
    std::string path_;
    std::filesystem::file_time_type lastWrite_;
};

} // namespace Daemon
