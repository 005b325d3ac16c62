#include "control/routerecord.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Control {

using nlohmann::json;

/// Pauses before the record is read again; the first is the time in which it is written.
static constexpr std::chrono::seconds FirstRetryPause = 2 * Membership::DirectoryWriteDelay;
static constexpr std::chrono::seconds LongestRetryPause{16};

std::string encodeRouteRecord(const RouteRecord &record)
{
    json byAddress = json::object();
    for (const auto &[address, lists] : record.former.byAddress) {
        json &encodedLists = byAddress[Model::endpointText(address)] = json::array();
        for (const Routing::Targets &targets : lists) {
            json encoded = json::array();
            for (const Model::RouteTarget &target : targets)
                encoded.push_back({target.service, target.weight});
            encodedLists.push_back(std::move(encoded));
        }
    }
    return json{{"timeline", std::uint64_t(record.timeline)},
                {"generation", std::uint64_t(record.generation)},
                {"complete", record.former.isComplete},
                {"former", std::move(byAddress)}}
        .dump();
}

static Routing::Targets decodeTargets(const json &encoded)
{
    Routing::Targets targets;
    for (const json &target : encoded)
        targets.push_back({target.at(0).get<std::string>(), target.at(1).get<std::uint32_t>()});
    return targets;
}

std::optional<RouteRecord> decodeRouteRecord(const std::string &value)
{
    try {
        const json content = json::parse(value);
        RouteRecord record;
        record.timeline = Store::Timeline(content.at("timeline").get<std::uint64_t>());
        record.generation = Model::Generation(content.at("generation").get<std::uint64_t>());
        record.former.isComplete = content.at("complete").get<bool>();
        for (const auto &[text, lists] : content.at("former").items()) {
            const auto address = Model::parseEndpoint(text);
            if (!address)
                return std::nullopt;
            for (const json &targets : lists)
                record.former.byAddress[*address].push_back(decodeTargets(targets));
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
