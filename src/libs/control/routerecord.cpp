#include "control/routerecord.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Control {

using nlohmann::json;

/// Pauses before the record is read again; the first is the time in which it is written.
static constexpr std::chrono::seconds FirstRetryPause = 2 * Membership::DirectoryWriteDelay;
static constexpr std::chrono::seconds LongestRetryPause{16};

static json encodeTargets(const Routing::Targets &targets)
{
    json encoded = json::array();
    for (const Model::RouteTarget &target : targets)
        encoded.push_back({target.service, target.weight});
    return encoded;
}

static Routing::Targets decodeTargets(const json &encoded)
{
    Routing::Targets targets;
    for (const json &target : encoded)
        targets.push_back({target.at(0).get<std::string>(), target.at(1).get<std::uint32_t>()});
    return targets;
}

std::string encodeRouteRecord(const RouteRecord &record)
{
    json inForce = json::object();
    for (const auto &[address, targets] : record.targets.inForce)
        inForce[Model::endpointText(address)] = encodeTargets(targets);
    json former = json::object();
    for (const auto &[address, lists] : record.targets.former) {
        json &encoded = former[Model::endpointText(address)] = json::array();
        for (const Routing::Targets &targets : lists)
            encoded.push_back(encodeTargets(targets));
    }
    return json{{"timeline", std::uint64_t(record.timeline)},
                {"generation", std::uint64_t(record.targets.generation)},
                {"inForce", std::move(inForce)},
                {"former", std::move(former)}}
        .dump();
}

std::optional<RouteRecord> decodeRouteRecord(const std::string &value)
{
    try {
        const json content = json::parse(value);
        RouteRecord record;
        record.timeline = Store::Timeline(content.at("timeline").get<std::uint64_t>());
        record.targets.generation =
            Model::Generation(content.at("generation").get<std::uint64_t>());
        for (const auto &[text, targets] : content.at("inForce").items()) {
            const auto address = Model::parseEndpoint(text);
            if (!address)
                return std::nullopt;
            record.targets.inForce[*address] = decodeTargets(targets);
        }
        for (const auto &[text, lists] : content.at("former").items()) {
            const auto address = Model::parseEndpoint(text);
            if (!address)
                return std::nullopt;
            for (const json &targets : lists)
                record.targets.former[*address].push_back(decodeTargets(targets));
        }
        return record;
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

bool RecordRetryPolicy::isDue(TimePoint now, bool isMissing, Model::Generation generation)
{
    if (!isMissing || std::exchange(generation_, generation) != generation) {
        pause_ = FirstRetryPause;
        next_ = now + pause_;
        return false;
    }
    if (now < next_ || pause_ > LongestRetryPause)
        return false;
    pause_ *= 2;
    next_ = now + pause_;
    return true;
}

} // namespace Control
