#include "membership/directory.h"

#include <nlohmann/json.hpp>

namespace Membership {

using nlohmann::json;

std::string encodeDirectory(const std::vector<Tunnel::Member> &members, Store::Timeline timeline)
{
    // Arrays without keys keep the directory of 9,300 members below the store's limit of 1 MB.
    json entries = json::object();
    for (const Tunnel::Member &member : members) {
        const Model::Instance &instance = member.instance;
        entries[instance.name] = {Model::endpointText(instance.tunnel), instance.service,
                                  std::uint64_t(instance.incarnation)};
    }
    // Names come from datagrams and may not be valid UTF-8.
    return json{{"timeline", std::uint64_t(timeline)}, {"members", std::move(entries)}}.dump(
        -1, ' ', false, json::error_handler_t::replace);
}

static std::optional<DirectoryEntry> decodeEntry(const std::string &name, const json &entry)
{
    if (!entry.is_array() || entry.size() != 3 || !entry[0].is_string() || !entry[1].is_string()
        || !entry[2].is_number_unsigned())
        return std::nullopt;
    const auto tunnel = Model::parseEndpoint(entry[0].get<std::string>());
    if (!tunnel)
        return std::nullopt;
    return DirectoryEntry{name, *tunnel, entry[1].get<std::string>(),
                          Model::Incarnation(entry[2].get<std::uint64_t>())};
}

Directory decodeDirectory(const std::string &value)
{
    Directory directory;
    const json content = json::parse(value, nullptr, false);
    if (!content.is_object() || !content.contains("members"))
        return directory;
    if (const auto timeline = content.find("timeline");
        timeline != content.end() && timeline->is_number_unsigned())
        directory.timeline = Store::Timeline(timeline->get<std::uint64_t>());
    for (const auto &[name, entry] : content["members"].items()) {
        if (auto member = decodeEntry(name, entry))
            directory.members.push_back(std::move(*member));
    }
    return directory;
}

DirectoryStep DirectoryPolicy::next(TimePoint now, bool isResponsible, const std::string &encoded,
                                    Store::Timeline timeline)
{
    if (encoded == stored_)
        changedSince_.reset();
    else if (!changedSince_)
        changedSince_ = now;
    if (now < waitUntil_)
        return DirectoryStep::Wait;
    if (needsRead_ || (isResponsible && timeline_ && timeline_ != timeline))
        return DirectoryStep::Read;
    const bool isDue =
        changedSince_ && (wasRestored_ || now - *changedSince_ >= DirectoryWriteDelay);
    if (!isResponsible || !isDue)
        return DirectoryStep::Wait;
    return timeline_ ? DirectoryStep::Write : DirectoryStep::Read;
}

void DirectoryPolicy::onRead(const std::optional<std::string> &value, Store::Timeline timeline)
{
    needsRead_ = false;
    wasRestored_ |= timeline_ && timeline_ != timeline;
    timeline_ = timeline;
    stored_ = value.value_or(std::string());
}

void DirectoryPolicy::onWritten(const std::string &value)
{
    stored_ = value;
    changedSince_.reset();
    wasRestored_ = false;
}

void DirectoryPolicy::onFailed(TimePoint now)
{
    needsRead_ = true;
    waitUntil_ = now + DirectoryRetryDelay;
}

} // namespace Membership
