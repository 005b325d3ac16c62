#include "requests/idempotencycache.h"

#include "property.h"

#include <map>

using namespace Requests;

namespace {

/// The journal beside a map that forgets nothing before its time.
class Checked
{
public:
    void begin(const std::string &key, std::uint64_t fingerprint)
    {
        const IdempotencyResult verdict = journal_.begin(now_, key, fingerprint);
        std::erase_if(known_, [this](const auto &entry) {
            return now_ - entry.second.since >= IdempotencyKeyLifetime;
        });
        const auto entry = known_.find(key);
        if (entry == known_.end()) {
            RC_ASSERT(std::holds_alternative<FirstRequest>(verdict));
            known_[key] = {fingerprint, std::nullopt, now_};
        } else if (entry->second.fingerprint != fingerprint) {
            RC_ASSERT(std::holds_alternative<KeyReused>(verdict));
        } else if (!entry->second.answer) {
            RC_ASSERT(std::holds_alternative<StillRunning>(verdict));
        } else {
            RC_ASSERT(std::get<AlreadyAnswered>(verdict).answer == *entry->second.answer);
        }
    }

    void finish(const std::string &key, const std::string &answer)
    {
        journal_.finish(key, answer);
        if (const auto entry = known_.find(key); entry != known_.end())
            entry->second.answer = answer;
    }

    void forget(const std::string &key)
    {
        journal_.forget(key);
        known_.erase(key);
    }

    void advance(std::chrono::seconds step) { now_ += step; }

private:
    struct Known
    {
        std::uint64_t fingerprint = 0;
        std::optional<std::string> answer;
        IdempotencyCache::TimePoint since;
    };

    IdempotencyCache::TimePoint now_{std::chrono::hours(1)};
    IdempotencyCache journal_;
    std::map<std::string, Known> known_;
};

class JournalStep : public Step<Checked>
{
public:
    void apply(Checked &checked) const override
    {
        const std::string key = "key-" + std::to_string(first_ % 6);
        switch (kind_) {
        case 0:
        case 1:
            return checked.begin(key, second_ % 2);
        case 2:
            return checked.finish(key, "answer-" + std::to_string(second_));
        case 3:
            return checked.forget(key);
        default:
            return checked.advance(std::chrono::seconds(second_));
        }
    }

    void show(std::ostream &stream) const override
    {
        stream << "step " << kind_ << ' ' << first_ << ' ' << second_;
    }

private:
    const int kind_ = *rc::gen::inRange(0, 5);
    const std::size_t first_ = *rc::gen::inRange<std::size_t>(0, 100);
    const std::size_t second_ = *rc::gen::inRange<std::size_t>(0, 400);
};

} // namespace

TEST_GROUP(IdempotencyCache){};

TEST(IdempotencyCache, AgreesWithMap)
{
    checkProperty("a repeat under a key is recognised until its time", [] {
        Checked checked;
        rc::state::check(NoModel(), checked, rc::state::gen::execOneOfWithArgs<JournalStep>());
    });
}

TEST(IdempotencyCache, LongAnswerIsNotKeptAndNotRunAgain)
{
    IdempotencyCache journal;
    const IdempotencyCache::TimePoint now{std::chrono::hours(1)};
    journal.begin(now, "key", 1);
    journal.finish("key", std::string(MaxCachedResponseBytes + 1, 'x'));
    CHECK_TRUE(std::holds_alternative<StillRunning>(journal.begin(now, "key", 1)));
}

TEST(IdempotencyCache, FullJournalTakesNoFurtherKey)
{
    IdempotencyCache journal;
    const IdempotencyCache::TimePoint now{std::chrono::hours(1)};
    for (std::size_t index = 0; index < MaxIdempotencyKeys; ++index)
        journal.begin(now, std::to_string(index), 1);
    CHECK_TRUE(std::holds_alternative<IdempotencyCacheFull>(journal.begin(now, "one more", 1)));
}
