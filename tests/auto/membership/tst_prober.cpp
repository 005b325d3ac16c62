#include "membership/prober.h"

#include "property.h"

#include <map>
#include <set>

using namespace Membership;
using std::chrono::milliseconds;

namespace {

/// Probers that exchange datagrams without delay. Probers can be killed and links cut.
class Group
{
public:
    explicit Group(std::size_t size)
    {
        for (std::size_t index = 0; index < size; ++index) {
            Model::Instance instance;
            instance.name = "agent-" + std::to_string(index);
            instance.tunnel = {0x7f000001, std::uint16_t(1000 + index)};
            instance.incarnation = Model::Incarnation(5);
            instances_.push_back(instance);
        }
        for (std::size_t index = 0; index < size; ++index) {
            const Model::Instance &own = instances_[index];
            probers_.emplace_back(
                Routing::Hop{Model::instanceId(own.name), own.incarnation, own.tunnel}, index + 1);
            std::vector<Model::Instance> peers = instances_;
            peers.erase(peers.begin() + std::ptrdiff_t(index));
            probers_.back().setPeers(std::move(peers));
        }
    }

    void kill(std::size_t index) { dead_.insert(index); }
    void cut(std::size_t left, std::size_t right)
    {
        cut_.insert({left, right});
        cut_.insert({right, left});
    }

    void run(milliseconds duration)
    {
        const auto end = now_ + duration;
        for (; now_ < end; now_ += milliseconds(50)) {
            for (std::size_t index = 0; index < probers_.size(); ++index) {
                if (!dead_.contains(index))
                    execute(index, probers_[index].tick(now_));
            }
        }
    }

    const std::set<std::string> &suspects() const { return suspects_; }
    const std::set<std::string> &removed() const { return removed_; }

    /// Sets the announced state of instance \a index in the peer lists of all probers.
    void announce(std::size_t index, Model::InstanceState state)
    {
        instances_[index].state = state;
        for (std::size_t prober = 0; prober < probers_.size(); ++prober) {
            std::vector<Model::Instance> peers = instances_;
            peers.erase(peers.begin() + std::ptrdiff_t(prober));
            probers_[prober].setPeers(std::move(peers));
        }
    }
    std::uint64_t sent() const { return sent_; }
    const Prober &prober(std::size_t index) const { return probers_[index]; }

private:
    void execute(std::size_t from, const std::vector<ProberAction> &actions)
    {
        for (const ProberAction &action : actions) {
            if (const auto *suspect = std::get_if<SuspectPeer>(&action)) {
                suspects_.insert(suspect->name);
                continue;
            }
            if (const auto *removed = std::get_if<RemovePeer>(&action)) {
                removed_.insert(removed->name);
                continue;
            }
            ++generatedSteps;
            ++sent_;
            const auto *const probe = std::get_if<SendProbe>(&action);
            const Model::Endpoint receiver =
                probe ? probe->receiver.tunnel : std::get<SendAnswer>(action).receiver.tunnel;
            const std::size_t to = receiver.port - 1000u;
            if (dead_.contains(to) || cut_.contains({from, to}))
                continue;
            if (probe)
                execute(to, probers_[to].onProbe(now_, probe->probe));
            else
                execute(to, probers_[to].onAnswer(std::get<SendAnswer>(action).answer));
        }
    }

    Prober::TimePoint now_{std::chrono::hours(1)};
    std::vector<Model::Instance> instances_;
    std::vector<Prober> probers_;
    std::set<std::size_t> dead_;
    std::set<std::pair<std::size_t, std::size_t>> cut_;
    std::set<std::string> suspects_;
    std::set<std::string> removed_;
    std::uint64_t sent_ = 0;
};

} // namespace

TEST_GROUP(Prober){};

TEST(Prober, SuspectsExactlyTheDeadPeers)
{
    checkProperty("dead peers are suspected, reachable ones are not", [] {
        const auto size = *rc::gen::inRange<std::size_t>(4, 10);
        const auto dead = *rc::gen::inRange<std::size_t>(0, size);
        const auto left = *rc::gen::inRange<std::size_t>(0, size);
        const auto right = *rc::gen::inRange<std::size_t>(0, size);
        Group group(size);
        group.kill(dead);
        // With one cut link, the two peers still reach each other through indirect probes.
        if (left != right)
            group.cut(left, right);
        group.run(std::chrono::seconds(40));
        const std::set<std::string> expected{"agent-" + std::to_string(dead)};
        RC_ASSERT(group.suspects() == expected);
    });
}

TEST(Prober, RemovesASuspectOnlyAfterADelay)
{
    Group group(4);
    group.kill(3);
    group.run(std::chrono::seconds(30));
    group.announce(3, Model::InstanceState::Suspect);
    group.run(std::chrono::seconds(60));
    CHECK_TRUE(group.removed().empty());
    group.run(SuspectRemovalDelay);
    CHECK_TRUE(group.removed() == std::set<std::string>{"agent-3"});
}

TEST(Prober, AnswerConfirmsOwnIncarnation)
{
    Group group(3);
    group.run(std::chrono::seconds(3));
    CHECK_TRUE(group.prober(0).lastConfirmed() > Prober::TimePoint(std::chrono::hours(1)));
}

TEST(Prober, TrafficPerAgentDoesNotGrowWithServiceSize)
{
    Group small(3);
    small.run(std::chrono::seconds(60));
    Group large(30);
    large.run(std::chrono::seconds(60));
    CHECK_TRUE(large.sent() / 30 <= small.sent() / 3);
}
