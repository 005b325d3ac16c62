#include "membership/prober.h"

#include <pcg_random.hpp>

#include <algorithm>

namespace Membership {

static constexpr std::chrono::seconds RelayLifetime{5};

static Routing::Hop hopOf(const Model::Instance &instance)
{
    return {Model::instanceId(instance.name), instance.incarnation, instance.tunnel};
}

Prober::Prober(Routing::Hop self, std::uint64_t seed)
    : self_(self)
    , nextSequence_(seed << 20)
    , randomState_(seed)
{}

void Prober::setPeers(std::vector<Model::Instance> peers)
{
    pcg64 random(randomState_);
    std::shuffle(peers.begin(), peers.end(), random);
    randomState_ = random();
    peers_ = std::move(peers);
    nextPeer_ = 0;
    std::erase_if(failures_, [this](const auto &entry) {
        return std::none_of(peers_.begin(), peers_.end(), [&](const Model::Instance &peer) {
            return Model::instanceId(peer.name) == entry.first;
        });
    });
}

std::vector<ProberAction> Prober::tick(TimePoint now)
{
    std::vector<ProberAction> actions;
    std::erase_if(relays_,
                  [now](const auto &entry) { return now - entry.second.since > RelayLifetime; });
    if (round_) {
        const auto elapsed = now - round_->start;
        if (!round_->isIndirect && elapsed >= DirectProbeTimeout)
            startIndirectProbes(actions);
        else if (elapsed >= DirectProbeTimeout + IndirectProbeTimeout)
            endFailedRound(now, actions);
    }
    if (!round_ && now >= nextRound_)
        startRound(now, actions);
    return actions;
}

void Prober::startRound(TimePoint now, std::vector<ProberAction> &actions)
{
    nextRound_ = now + ProbeInterval;
    if (peers_.empty())
        return;
    nextPeer_ %= peers_.size();
    const Model::Instance &target = peers_[nextPeer_++];
    round_ = Round{++nextSequence_, target, now, false};
    const Routing::Hop receiver = hopOf(target);
    actions.push_back(SendProbe{receiver, {round_->sequence, self_, receiver}});
}

void Prober::startIndirectProbes(std::vector<ProberAction> &actions)
{
    round_->isIndirect = true;
    const Routing::Hop target = hopOf(round_->target);
    std::size_t sent = 0;
    for (std::size_t step = 0; step < peers_.size() && sent < IndirectProbeCount; ++step) {
        const Model::Instance &proxy = peers_[(nextPeer_ + step) % peers_.size()];
        if (proxy.name == round_->target.name || proxy.state == Model::InstanceState::Suspect)
            continue;
        actions.push_back(SendProbe{hopOf(proxy), {round_->sequence, self_, target}});
        ++sent;
    }
}

void Prober::endFailedRound(TimePoint now, std::vector<ProberAction> &actions)
{
    const Model::Instance target = round_->target;
    const TimePoint start = round_->start;
    round_.reset();
    Failures &failures =
        failures_.try_emplace(Model::instanceId(target.name), Failures{0, start}).first->second;
    ++failures.rounds;
    const bool isSuspect = target.state == Model::InstanceState::Suspect;
    if (!isSuspect && failures.rounds >= FailedRoundsUntilSuspect)
        actions.push_back(SuspectPeer{target.name, target.incarnation});
    if (isSuspect && now - failures.since >= SuspectRemovalDelay)
        actions.push_back(RemovePeer{target.name, target.incarnation});
}

Model::Incarnation Prober::knownIncarnation(Model::InstanceId instance) const
{
    for (const Model::Instance &peer : peers_) {
        if (Model::instanceId(peer.name) == instance)
            return peer.incarnation;
    }
    return {};
}

std::vector<ProberAction> Prober::onProbe(TimePoint now, const Tunnel::Probe &probe)
{
    if (probe.target.instance == self_.instance)
        return {SendAnswer{probe.sender,
                           {probe.sequence, self_, knownIncarnation(probe.sender.instance)}}};
    const std::uint64_t sequence = ++nextSequence_;
    relays_[sequence] = {probe.sender, probe.sequence, now};
    return {SendProbe{probe.target, {sequence, self_, probe.target}}};
}

std::vector<ProberAction> Prober::onAnswer(const Tunnel::ProbeAnswer &answer)
{
    if (const auto relay = relays_.find(answer.sequence); relay != relays_.end()) {
        const Relay request = relay->second;
        relays_.erase(relay);
        return {SendAnswer{request.requester,
                           {request.sequence, answer.target, answer.askerIncarnation}}};
    }
    if (round_ && round_->sequence == answer.sequence) {
        failures_.erase(answer.target.instance);
        if (answer.askerIncarnation == self_.incarnation)
            lastConfirmed_ = round_->start;
        round_.reset();
    }
    return {};
}

} // namespace Membership
