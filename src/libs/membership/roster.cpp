#include "membership/roster.h"

#include <xxhash.h>

#include <algorithm>

namespace Membership {

/// Longest time that a datagram is in transit. A report with an older incarnation that arrives
/// later than this after the last one is no late datagram: it comes from a process that restarted
/// after its clock was set back.
static constexpr std::chrono::seconds LateDatagramLimit{1};

static std::uint64_t hashOf(const Tunnel::Member &member)
{
    const std::uint64_t words[7] = {std::uint64_t(Model::instanceId(member.instance.name)),
                                    std::uint64_t(member.instance.incarnation),
                                    std::uint64_t(member.instance.state),
                                    std::uint64_t(member.isUnheard),
                                    std::uint64_t(member.hasNoServer),
                                    std::uint64_t(member.serverListens),
                                    std::uint64_t(member.isRestarting)};
    return XXH3_64bits(words, sizeof words);
}

/// Whether the membership view of \a reader contains \a member: balancers see all members, agents
/// see the balancers and the agents of their own service.
static bool shouldKnow(const Tunnel::Member &reader, const Tunnel::Member &member)
{
    return reader.role == Tunnel::Role::Balancer || member.role == Tunnel::Role::Balancer
           || member.instance.service == reader.instance.service;
}

Roster::Roster(Tunnel::Member self, TimePoint completeFrom)
    : self_(std::move(self))
    , completeFrom_(completeFrom)
{}

Tunnel::RosterScope Roster::scope(TimePoint now) const
{
    if (!isBalancer())
        return adoptedScope_;
    if (now >= completeFrom_)
        return Tunnel::RosterScope::Complete;
    return includesRecorded_ ? Tunnel::RosterScope::Recorded : Tunnel::RosterScope::Reported;
}

bool Roster::addRecorded(TimePoint now, const std::vector<Tunnel::Member> &agents, bool isComplete)
{
    includesRecorded_ |= isComplete;
    bool changed = false;
    for (const Tunnel::Member &agent : agents) {
        const std::string &name = agent.instance.name;
        if (name == self_.instance.name || tombstones_.contains(name))
            continue;
        const auto [entry, isNew] = entries_.try_emplace(name);
        if (!isNew)
            continue;
        entry->second.member = agent;
        entry->second.member.instance.state = Model::InstanceState::Suspect;
        entry->second.lastReportTime = now;
        entry->second.isSuspect = true;
        entry->second.member.isUnheard = true;
        recordChange(agent);
        changed = true;
    }
    return changed;
}

void Roster::recordChange(const Tunnel::Member &member)
{
    ownerChanges_ += member.hasNoServer ? 0 : 1;
}

bool Roster::remove(TimePoint now, const Tunnel::Member &member)
{
    const std::string &name = member.instance.name;
    tombstones_[name] = {member.instance.incarnation, now};
    if (isBalancer())
        gone_[name] = {member, now};
    const auto entry = entries_.find(name);
    if (entry == entries_.end())
        return false;
    recordChange(entry->second.member);
    entries_.erase(entry);
    return true;
}

bool Roster::onReport(TimePoint now, const Tunnel::Report &report)
{
    const Tunnel::Member &member = report.sender;
    const std::string &name = member.instance.name;
    if (name == self_.instance.name)
        return false;
    if (report.isLeaving)
        return remove(now, member);

    gone_.erase(name);
    const auto known = entries_.find(name);
    if (known == entries_.end()) {
        tombstones_.erase(name);
        entries_[name] = {member, now, false, report.number, {}, {}};
        recordChange(member);
        return true;
    }
    Entry &entry = known->second;
    const auto incarnation = entry.member.instance.incarnation;
    const bool isLate =
        member.instance.incarnation < incarnation && now - entry.lastReportTime < LateDatagramLimit;
    const bool isReordered =
        member.instance.incarnation == incarnation && report.number < entry.number;
    if (isLate || isReordered)
        return false;
    const bool changed = entry.isSuspect || entry.member.instance != member.instance
                         || entry.member.hasNoServer != member.hasNoServer;
    if (changed)
        recordChange(member);
    // The possible owners stay the same.
    const bool becomesReady = entry.member.isRestarting != member.isRestarting;
    entry = {member, now, false, report.number, {}, {}};
    return changed || becomesReady;
}

bool Roster::addRelayed(TimePoint now, const Tunnel::Member &member)
{
    const std::string &name = member.instance.name;
    // An agent adds a member again that was only cut off from the balancers, but not one that a
    // balancer knows from the directory.
    const bool wasHeard = !isBalancer() && member.instance.state != Model::InstanceState::Suspect;
    if (const auto tombstone = tombstones_.find(name);
        tombstone != tombstones_.end() && !wasHeard
        && member.instance.incarnation <= tombstone->second.incarnation)
        return false;
    const auto [known, isNew] = entries_.try_emplace(name);
    Entry &entry = known->second;
    const TimePoint lastReportTime = now - member.sinceLastReport;
    if (isNew) {
        // A balancer places no work on a member from which it never received a report itself.
        entry = {member, lastReportTime, isBalancer(), 0, {}, {}};
        recordChange(member);
        return true;
    }
    entry.omittedBy.clear();
    entry.missedBy.clear();
    if (!isBalancer()) {
        Tunnel::Member next = member;
        // What is known of it is not lost because a balancer that just started knows less.
        next.isUnheard &= entry.member.isUnheard;
        const bool changed = entry.member.instance != next.instance
                             || entry.member.isUnheard != next.isUnheard
                             || entry.member.hasNoServer != next.hasNoServer;
        if (changed)
            recordChange(next);
        const bool becomesReady = entry.member.isRestarting != next.isRestarting;
        entry.member = next;
        return changed || becomesReady;
    }
    if (member.instance.incarnation < entry.member.instance.incarnation)
        return false;
    entry.lastReportTime = std::max(entry.lastReportTime, lastReportTime);
    if (member.instance.incarnation == entry.member.instance.incarnation && !entry.member.isUnheard)
        return false;
    recordChange(member);
    entry = {member, lastReportTime, true, 0, {}, {}};
    return true;
}

bool Roster::onRosterPart(TimePoint now, const Tunnel::RosterPart &part)
{
    bool changed = false;
    std::set<std::string> listed;
    std::map<std::string, Model::Incarnation> gone;
    for (const Tunnel::Member &member : part.members) {
        if (member.instance.name == self_.instance.name)
            continue;
        if (member.isGone) {
            gone.emplace(member.instance.name, member.instance.incarnation);
            continue;
        }
        listed.insert(member.instance.name);
        changed |= addRelayed(now, member);
    }
    changed |= applyOmissions(now, part, listed, gone);
    // Only a whole roster shows that nobody is missing, and its last part is sent last.
    if (!isBalancer() && part.isLast)
        adoptedScope_ = std::max(adoptedScope_, part.scope);
    return changed;
}

/// Records that \a part omits the member of \a entry; \a isGone is whether its sender removed the
/// member. Returns whether the member is gone, given that \a needed balancers have to omit it.
bool Roster::recordOmission(Entry &entry, const Tunnel::RosterPart &part, bool isGone,
                            std::size_t needed) const
{
    const bool isComplete =
        part.scope == Tunnel::RosterScope::Complete || isGone || entry.member.hasNoServer;
    if (isBalancer())
        return entry.member.isUnheard && isComplete;
    (isComplete ? entry.omittedBy : entry.missedBy).insert(part.balancer);
    return entry.omittedBy.size() >= needed;
}

/// Applies that \a part, whose members are \a listed, lacks members of this roster: a complete
/// roster shows that they are gone, another one only that they may not be reachable.
bool Roster::applyOmissions(TimePoint now, const Tunnel::RosterPart &part,
                            const std::set<std::string> &listed,
                            const std::map<std::string, Model::Incarnation> &gone)
{
    if (isBalancer() && !hasUnheard())
        return false;
    const std::string lastName = part.members.empty() ? "" : part.members.back().instance.name;
    const auto needed = std::clamp<std::size_t>(balancers().size(), 1, MinOmissionsForRemoval);
    bool changed = false;
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        auto &[name, known] = *entry;
        const bool isInRange = name > part.afterName && (part.isLast || name <= lastName);
        if (!isInRange || listed.contains(name)) {
            ++entry;
            continue;
        }
        const auto goneMember = gone.find(name);
        const bool isGone =
            goneMember != gone.end() && goneMember->second >= known.member.instance.incarnation;
        if (recordOmission(known, part, isGone, needed)) {
            tombstones_[name] = {known.member.instance.incarnation, now};
            recordChange(known.member);
            entry = entries_.erase(entry);
            changed = true;
            continue;
        }
        const bool becomesSuspect = known.member.role == Tunnel::Role::Agent
                                    && known.missedBy.size() >= needed
                                    && known.member.instance.state != Model::InstanceState::Suspect;
        if (becomesSuspect) {
            known.member.instance.state = Model::InstanceState::Suspect;
            recordChange(known.member);
        }
        changed |= becomesSuspect;
        ++entry;
    }
    expireTombstones(now);
    return changed;
}

void Roster::expireTombstones(TimePoint now)
{
    std::erase_if(tombstones_, [now](const auto &entry) {
        return now - entry.second.since >= TombstoneLifetime;
    });
}

/// Returns the time without a report after which a balancer removes \a member.
static std::chrono::milliseconds removalTimeoutOf(const Tunnel::Member &member)
{
    const bool isLost = member.role == Tunnel::Role::Agent
                        && member.instance.state != Model::InstanceState::Suspect;
    return isLost ? LostTimeout : std::chrono::milliseconds(RemovalTimeout);
}

/// Removes the members that have been silent for too long, and returns whether there were any.
/// Remembers those that reported to this process, for readers that can't tell otherwise that it
/// knew them.
bool Roster::removeSilent(TimePoint now)
{
    const auto removed = std::erase_if(entries_, [&](const auto &element) {
        const auto &[name, entry] = element;
        if (now - entry.lastReportTime < removalTimeoutOf(entry.member))
            return false;
        recordChange(entry.member);
        if (entry.number > 0)
            gone_[name] = {entry.member, now};
        return true;
    });
    std::erase_if(
        gone_, [now](const auto &entry) { return now - entry.second.since >= TombstoneLifetime; });
    return removed > 0;
}

bool Roster::expire(TimePoint now)
{
    if (!isBalancer())
        return false;
    bool changed = false;
    for (auto &[name, entry] : entries_) {
        const bool isSuspect = entry.isSuspect || now - entry.lastReportTime >= SuspectTimeout;
        if (isSuspect != entry.isSuspect) {
            recordChange(entry.member);
            changed = true;
        }
        entry.isSuspect = isSuspect;
    }
    changed |= removeSilent(now);
    expireTombstones(now);
    return changed;
}

void Roster::onPaused(std::chrono::milliseconds pause)
{
    for (auto &[name, entry] : entries_)
        entry.lastReportTime += pause;
}

std::vector<Model::Instance> Roster::agents() const
{
    std::vector<Model::Instance> agents;
    for (const auto &[name, entry] : entries_) {
        if (entry.member.role != Tunnel::Role::Agent || entry.member.hasNoServer)
            continue;
        agents.push_back(entry.member.instance);
        if (entry.isSuspect)
            agents.back().state = Model::InstanceState::Suspect;
    }
    return agents;
}

bool Roster::hasListeningServer(const std::string &service) const
{
    return std::any_of(entries_.begin(), entries_.end(), [&service](const auto &entry) {
        const Tunnel::Member &member = entry.second.member;
        return member.serverListens && member.instance.service == service;
    });
}

std::vector<Tunnel::Member> Roster::members() const
{
    std::vector<Tunnel::Member> members{self_};
    for (const auto &[name, entry] : entries_)
        members.push_back(entry.member);
    return members;
}

bool Roster::isFirstBalancer() const
{
    return std::none_of(entries_.begin(), entries_.end(), [this](const auto &entry) {
        const Tunnel::Member &member = entry.second.member;
        return member.role == Tunnel::Role::Balancer && !entry.second.isSuspect
               && member.instance.state == Model::InstanceState::Ready
               && member.instance.name < self_.instance.name;
    });
}

std::vector<Model::Instance> Roster::balancers() const
{
    std::vector<Model::Instance> balancers;
    for (const auto &[name, entry] : entries_) {
        if (entry.member.role == Tunnel::Role::Balancer)
            balancers.push_back(entry.member.instance);
    }
    return balancers;
}

bool Roster::hasAddress(std::uint32_t address) const
{
    return std::any_of(entries_.begin(), entries_.end(), [address](const auto &entry) {
        return entry.second.member.instance.tunnel.address == address && !entry.second.isSuspect;
    });
}

/// Whether nobody waits for the member of \a entry: an agent that stopped or doesn't report, and
/// owned no flow.
bool Roster::isNeedless(const Entry &entry)
{
    const bool isSuspect =
        entry.isSuspect || entry.member.instance.state == Model::InstanceState::Suspect;
    return isSuspect && entry.member.hasNoServer;
}

/// Returns the membership view that \a reader gets, ordered by name. Only an agent is also sent
/// which members are suspect; a balancer decides that from the reports that it receives itself.
std::vector<Tunnel::Member> Roster::viewFor(const Tunnel::Member &reader) const
{
    std::vector<Tunnel::Member> view;
    const bool readerIsBalancer = reader.role == Tunnel::Role::Balancer;
    for (const auto &[name, entry] : entries_) {
        if (name == reader.instance.name || !shouldKnow(reader, entry.member))
            continue;
        if (readerIsBalancer ? entry.member.isUnheard : isNeedless(entry))
            continue;
        view.push_back(entry.member);
        view.back().isUnheard &= !isSystemRunning_;
        if (entry.isSuspect && !readerIsBalancer)
            view.back().instance.state = Model::InstanceState::Suspect;
    }
    if (self_.instance.name != reader.instance.name && shouldKnow(reader, self_))
        view.push_back(self_);
    std::sort(view.begin(), view.end(), [](const auto &left, const auto &right) {
        return left.instance.name < right.instance.name;
    });
    return view;
}

/// Appends the members that viewFor() leaves out since they are gone, and that the agent \a reader
/// may still list: a roster that is not complete shows no other way that they own nothing. The
/// order by name is kept.
void Roster::appendGone(std::vector<Tunnel::Member> &view, const Tunnel::Member &reader) const
{
    const auto append = [&view, &reader](const Tunnel::Member &member) {
        if (!shouldKnow(reader, member))
            return;
        view.push_back(member);
        view.back().isGone = true;
    };
    for (const auto &[name, gone] : gone_) {
        if (!entries_.contains(name))
            append(gone.member);
    }
    for (const auto &[name, entry] : entries_) {
        if (name != reader.instance.name && isNeedless(entry))
            append(entry.member);
    }
    std::sort(view.begin(), view.end(), [](const auto &left, const auto &right) {
        return left.instance.name < right.instance.name;
    });
}

std::uint64_t Roster::digestFor(const Tunnel::Member &reader) const
{
    std::uint64_t digest = reader.role == Tunnel::Role::Balancer ? hashOf(reader) : 0;
    for (const Tunnel::Member &member : viewFor(reader))
        digest ^= hashOf(member);
    return digest;
}

std::uint64_t Roster::digest() const
{
    const bool isUncertain =
        isBalancer() ? hasUnheard() : adoptedScope_ == Tunnel::RosterScope::Reported;
    return isUncertain ? 0 : digestFor(self_);
}

bool Roster::hasUnheard() const
{
    return std::any_of(entries_.begin(), entries_.end(),
                       [](const auto &entry) { return entry.second.member.isUnheard; });
}

bool Roster::hasReportedAgents() const
{
    return std::any_of(entries_.begin(), entries_.end(), [](const auto &entry) {
        const Tunnel::Member &member = entry.second.member;
        return member.role == Tunnel::Role::Agent && !member.isUnheard;
    });
}

std::vector<Model::Instance> Roster::restartingAgents() const
{
    std::vector<Model::Instance> restarting;
    for (const auto &[name, entry] : entries_) {
        const Tunnel::Member &member = entry.member;
        const bool isRestarting =
            member.isRestarting || member.instance.state == Model::InstanceState::Suspect;
        if (member.role == Tunnel::Role::Agent && !member.isUnheard && isRestarting)
            restarting.push_back(member.instance);
    }
    return restarting;
}

std::vector<Model::Instance> Roster::unheardAgents() const
{
    std::vector<Model::Instance> unheard;
    for (const auto &[name, entry] : entries_) {
        if (entry.member.isUnheard)
            unheard.push_back(entry.member.instance);
    }
    return unheard;
}

std::vector<Tunnel::RosterPart> Roster::partsFor(TimePoint now, const Tunnel::Member &reader) const
{
    std::vector<Tunnel::RosterPart> parts(1);
    parts.back().balancer = self_.instance.name;
    parts.back().scope = scope(now);
    std::vector<Tunnel::Member> view = viewFor(reader);
    if (reader.role == Tunnel::Role::Agent)
        appendGone(view, reader);
    for (Tunnel::Member &member : view) {
        if (const auto entry = entries_.find(member.instance.name); entry != entries_.end())
            member.sinceLastReport = std::chrono::duration_cast<std::chrono::milliseconds>(
                now - entry->second.lastReportTime);
        if (parts.back().members.size() == Tunnel::MaxMembersPerPart) {
            Tunnel::RosterPart next;
            next.balancer = self_.instance.name;
            next.scope = scope(now);
            next.afterName = parts.back().members.back().instance.name;
            parts.push_back(std::move(next));
        }
        parts.back().members.push_back(std::move(member));
    }
    parts.back().isLast = true;
    return parts;
}

} // namespace Membership
