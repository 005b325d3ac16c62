#include "settingsfile.h"

#include "observability/log.h"

#include <boost/leaf/handle_errors.hpp>

namespace Daemon {

using Observability::Level;
using Observability::log;

static std::filesystem::file_time_type lastWriteOf(const std::string &path)
{
    std::error_code error;
    const auto time = std::filesystem::last_write_time(path, error);
    return error ? std::filesystem::file_time_type() : time;
}

SettingsFile::SettingsFile(std::string path)
    : path_(std::move(path))
    , lastWrite_(lastWriteOf(path_))
{}

std::optional<Configuration::Settings> SettingsFile::readIfChanged()
{
    using Result = std::optional<Configuration::Settings>;
    const auto written = lastWriteOf(path_);
    if (written == lastWrite_)
        return std::nullopt;
    lastWrite_ = written;
    return boost::leaf::try_handle_all(
        [this]() -> boost::leaf::result<Result> {
            BOOST_LEAF_AUTO(document, Configuration::Document::load(path_));
            BOOST_LEAF_AUTO(settings, Configuration::readSettings(document));
            log(Level::Info, "settings-reloaded", {{"file", path_}});
            return Result(std::move(settings));
        },
        [](const Configuration::FileError &error) {
            log(Level::Error, "settings-refused", {{"error", Configuration::errorText(error)}});
            return Result();
        },
        [] { return Result(); });
}

} // namespace Daemon
