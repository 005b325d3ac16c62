#include "membership/directory.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Membership {

using nlohmann::json;

std::string encodeDirectory(const std::vector<Tunnel::Member> &members)
{
    // Lists in place of objects: at the size to design for, names of fields would take a third of
    // the largest value that the store keeps.
    json entries = json::object();
    for (const Tunnel::Member &member : members) {
        const Model::Instance &instance = member.instance;
        entries[instance.name] = {Model::endpointText(instance.tunnel), instance.failureDomain,
                                  instance.service};
    }
    return json{{"members", std::move(entries)}}.dump();
}

/// Reads one member; nothing if it has another form. Balancers have no service.
static std::optional<Tunnel::Member> readMember(const std::string &name, const json &entry)
{
    const auto isText = [](const json &value) { return value.is_string(); };
    if (!entry.is_array() || entry.size() != 3 || !std::all_of(entry.begin(), entry.end(), isText))
        return std::nullopt;
    const auto tunnel = Model::parseEndpoint(entry[0].get<std::string>());
    if (!tunnel || name.empty())
        return std::nullopt;
    Tunnel::Member member;
    member.instance.name = name;
    member.instance.tunnel = *tunnel;
    member.instance.failureDomain = entry[1].get<std::string>();
    member.instance.service = entry[2].get<std::string>();
    member.role = member.instance.service.empty() ? Tunnel::Role::Balancer : Tunnel::Role::Agent;
    return member;
}

std::vector<Tunnel::Member> decodeDirectory(const std::string &value)
{
    std::vector<Tunnel::Member> members;
    const json directory = json::parse(value, nullptr, false);
    if (!directory.is_object() || !directory.contains("members")
        || !directory["members"].is_object())
        return members;
    for (const auto &[name, entry] : directory["members"].items()) {
        if (auto member = readMember(name, entry))
            members.push_back(std::move(*member));
    }
    return members;
}

DirectoryStep DirectoryPolicy::next(TimePoint now, bool isResponsible, const std::string &encoded)
{
    if (encoded != wanted_) {
        wanted_ = encoded;
        wantedSince_ = now;
    }
    if (now < restUntil_)
        return DirectoryStep::Rest;
    if (!hasRead_)
        return DirectoryStep::Read;
    const bool isDue = now - wantedSince_ >= DirectorySettling && wanted_ != stored_;
    return isResponsible && isDue ? DirectoryStep::Write : DirectoryStep::Rest;
}

void DirectoryPolicy::onRead(const std::optional<std::string> &value)
{
    hasRead_ = true;
    stored_ = value.value_or(std::string());
}

void DirectoryPolicy::onFailed(TimePoint now)
{
    hasRead_ = false;
    restUntil_ = now + DirectoryRetry;
}

} // namespace Membership
