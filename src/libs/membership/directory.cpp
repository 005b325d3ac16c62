#include "membership/directory.h"

#include <nlohmann/json.hpp>

namespace Membership {

using nlohmann::json;

std::string encodeDirectory(const std::vector<Tunnel::Member> &members)
{
    json tunnels = json::object();
    for (const Tunnel::Member &member : members)
        tunnels[member.instance.name] = Model::endpointText(member.instance.tunnel);
    return json{{"tunnels", std::move(tunnels)}}.dump();
}

std::vector<Model::Endpoint> decodeDirectory(const std::string &value)
{
    std::vector<Model::Endpoint> tunnels;
    const json directory = json::parse(value, nullptr, false);
    if (!directory.is_object() || !directory.contains("tunnels"))
        return tunnels;
    for (const auto &[name, text] : directory["tunnels"].items()) {
        const auto tunnel =
            text.is_string() ? Model::parseEndpoint(text.get<std::string>()) : std::nullopt;
        if (tunnel)
            tunnels.push_back(*tunnel);
    }
    return tunnels;
}

DirectoryStep DirectoryPolicy::next(TimePoint now, bool isResponsible, const std::string &encoded)
{
    if (encoded != wanted_) {
        wanted_ = encoded;
        wantedSince_ = now;
    }
    if (now < waitUntil_)
        return DirectoryStep::Wait;
    if (!hasRead_)
        return DirectoryStep::Read;
    const bool isDue = now - wantedSince_ >= DirectoryDebounceInterval && wanted_ != stored_;
    return isResponsible && isDue ? DirectoryStep::Write : DirectoryStep::Wait;
}

void DirectoryPolicy::onRead(const std::optional<std::string> &value)
{
    hasRead_ = true;
    stored_ = value.value_or(std::string());
}

void DirectoryPolicy::onFailed(TimePoint now)
{
    hasRead_ = false;
    waitUntil_ = now + DirectoryRetryDelay;
}

} // namespace Membership
