#include "forwardingprocess.h"

namespace Daemon {

static Model::Incarnation newIncarnation()
{
    using namespace std::chrono;
    const auto sinceEpoch = system_clock::now().time_since_epoch();
    return Model::Incarnation(std::uint64_t(duration_cast<milliseconds>(sinceEpoch).count()));
}

Tunnel::Member selfMember(const Configuration::ForwardingSettings &settings, Tunnel::Role role)
{
    Tunnel::Member member;
    member.role = role;
    member.instance.name = settings.name;
    member.instance.failureDomain = settings.failureDomain;
    member.instance.tunnel = settings.tunnel;
    member.instance.peer = settings.pages;
    member.instance.incarnation = newIncarnation();
    return member;
}

std::vector<Model::Endpoint> seedTunnels(const Configuration::ForwardingSettings &settings)
{
    std::vector<Model::Endpoint> tunnels;
    for (const Model::Endpoint &seed : settings.seeds) {
        if (seed.address != settings.tunnel.address)
            tunnels.push_back({seed.address, settings.tunnel.port});
    }
    return tunnels;
}

} // namespace Daemon
