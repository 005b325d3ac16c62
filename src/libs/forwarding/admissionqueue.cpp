#include "forwarding/admissionqueue.h"

#include <algorithm>

namespace Forwarding {

/// How long each transmission of a SYN is held: the time to the next one, or until the caller gives
/// up, which is 200, 400 and 800 ms, less the time that the answer needs.
static constexpr std::chrono::milliseconds HoldTimes[] = {
    std::chrono::milliseconds(190), std::chrono::milliseconds(380), std::chrono::milliseconds(700)};

/// Part of the objective for which a request is held at most. The rest is left for its response.
static constexpr int HeldObjectivePart = 2;

/// Multiple of the usual response time that work still needs when it starts.
static constexpr int ResponseAllowance = 2;

/// Priority of flows without terms: behind all others.
static constexpr std::uint32_t LowestPriority = 256;

static std::chrono::milliseconds holdTime(std::uint32_t transmission)
{
    return HoldTimes[std::min<std::size_t>(transmission, std::size(HoldTimes) - 1)];
}

/// Returns the age up to which work with \a objective, if it has one, can be in time.
static std::chrono::microseconds timelyLimit(std::chrono::milliseconds objective,
                                             std::chrono::microseconds response)
{
    if (objective.count() == 0)
        return DefaultTimelyLimit;
    return std::max(std::chrono::microseconds(0), objective - ResponseAllowance * response);
}

AdmissionQueue::ClassKey AdmissionQueue::keyOf(const Tunnel::FlowTerms &terms)
{
    const std::uint32_t priority = terms.objective.count() > 0 ? terms.priority : LowestPriority;
    return {priority, terms.objective};
}

bool AdmissionQueue::holdSyn(TimePoint now, const Tunnel::PacketHeader &header,
                             const Tunnel::TcpPacket &packet)
{
    removeIf([&packet](const Entry &entry) {
        return !entry.isRequest && entry.packet.flow == packet.flow;
    });
    if (synCount_ >= MaxHeldSyns)
        return false;
    Class &group = classes_[keyOf(header.terms)];
    const bool isFirstTransmission = packet.acknowledgement == 0;
    auto &entries = isFirstTransmission ? group.timely : group.late;
    entries.push_back({header, packet, now, now + holdTime(packet.acknowledgement), false});
    ++synCount_;
    return true;
}

bool AdmissionQueue::holdRequest(TimePoint now, const Tunnel::PacketHeader &header,
                                 const Tunnel::TcpPacket &packet)
{
    if (requests_.size() >= MaxHeldRequests)
        return false;
    const auto limit = header.terms.objective / HeldObjectivePart;
    classes_[keyOf(header.terms)].timely.push_back({header, packet, now, now + limit, true});
    requests_[packet.flow] = {packet.sequence};
    return true;
}

AdmissionQueue::Addition AdmissionQueue::addToRequest(const Tunnel::TcpPacket &packet)
{
    const auto request = requests_.find(packet.flow);
    if (request == requests_.end())
        return Addition::NotHeld;
    auto &sequences = request->second;
    if (std::find(sequences.begin(), sequences.end(), packet.sequence) != sequences.end())
        return Addition::Duplicate;
    if (sequences.size() >= MaxPacketsPerRequest)
        return Addition::Full;
    sequences.push_back(packet.sequence);
    return Addition::Added;
}

/// Moves what can't be in time any more behind what can.
void AdmissionQueue::moveLate(TimePoint now, std::chrono::microseconds response)
{
    for (auto &[key, group] : classes_) {
        const auto limit = timelyLimit(key.second, response);
        while (!group.timely.empty() && now - group.timely.front().since > limit) {
            group.late.push_back(group.timely.front());
            group.timely.pop_front();
        }
    }
    std::erase_if(classes_, [](const auto &element) { return element.second.isEmpty(); });
}

bool AdmissionQueue::hasMoreUrgentSyn(TimePoint now, const Tunnel::FlowTerms &terms,
                                      std::chrono::microseconds response)
{
    if (synCount_ == 0)
        return false;
    moveLate(now, response);
    const std::uint32_t priority = keyOf(terms).first;
    return std::any_of(classes_.begin(), classes_.end(), [priority](const auto &element) {
        const auto &[key, group] = element;
        return key.first < priority
               && std::any_of(group.timely.begin(), group.timely.end(),
                              [](const Entry &entry) { return !entry.isRequest; });
    });
}

void AdmissionQueue::onRemoved(const Entry &entry)
{
    if (entry.isRequest)
        requests_.erase(entry.packet.flow);
    else
        --synCount_;
}

AdmissionQueue::Entry AdmissionQueue::takeFrom(std::deque<Entry> &entries, bool takesOldest)
{
    const Entry entry = takesOldest ? entries.front() : entries.back();
    if (takesOldest)
        entries.pop_front();
    else
        entries.pop_back();
    onRemoved(entry);
    return entry;
}

std::optional<AdmissionQueue::Entry> AdmissionQueue::take(TimePoint now,
                                                          std::chrono::microseconds response)
{
    moveLate(now, response);
    if (classes_.empty())
        return std::nullopt;
    const auto hasTimely = [](const auto &element) { return !element.second.timely.empty(); };
    if (++starts_ % StarvationCycle == 0) {
        const auto leastUrgent = std::find_if(classes_.rbegin(), classes_.rend(), hasTimely);
        if (leastUrgent != classes_.rend())
            return takeFrom(leastUrgent->second.timely, true);
    }
    const auto timely = std::find_if(classes_.begin(), classes_.end(), hasTimely);
    if (timely != classes_.end())
        return takeFrom(timely->second.timely, false);
    return takeFrom(classes_.begin()->second.late, false);
}

template<typename F>
std::vector<AdmissionQueue::Entry> AdmissionQueue::removeIf(F isWanted)
{
    std::vector<Entry> removed;
    for (auto &[key, group] : classes_) {
        for (auto *const entries : {&group.timely, &group.late}) {
            std::erase_if(*entries, [&](const Entry &entry) {
                if (!isWanted(entry))
                    return false;
                onRemoved(entry);
                removed.push_back(entry);
                return true;
            });
        }
    }
    return removed;
}

std::vector<AdmissionQueue::Entry> AdmissionQueue::takeDueRequests(TimePoint now, bool takesAll)
{
    if (requests_.empty())
        return {};
    return removeIf(
        [&](const Entry &entry) { return entry.isRequest && (takesAll || now >= entry.until); });
}

std::vector<Model::FlowKey> AdmissionQueue::expire(TimePoint now)
{
    std::vector<Model::FlowKey> expired;
    if (synCount_ == 0)
        return expired;
    for (const Entry &entry : removeIf([now](const Entry &candidate) {
             return !candidate.isRequest && now >= candidate.until;
         }))
        expired.push_back(entry.packet.flow);
    return expired;
}

bool AdmissionQueue::removeRequest(const Model::FlowKey &flow)
{
    if (!requests_.contains(flow))
        return false;
    removeIf([&flow](const Entry &entry) { return entry.isRequest && entry.packet.flow == flow; });
    return true;
}

} // namespace Forwarding
