#include "requests/idempotencycache.h"

#include "property.h"

#include <map>

using namespace Requests;

namespace {

/// Runs the cache together with a map that removes entries only at the end of their lifetime, and
/// checks that both agree.
class Checked
{
public:
    void begin(const std::string &key, std::uint64_t fingerprint)
    {
        const IdempotencyResult result = cache_.begin(now_, key, fingerprint);
        std::erase_if(known_, [this](const auto &entry) {
            return now_ - entry.second.since >= IdempotencyKeyLifetime;
        });
        const auto entry = known_.find(key);
        if (entry == known_.end()) {
            RC_ASSERT(std::holds_alternative<FirstRequest>(result));
            known_[key] = {fingerprint, std::nullopt, now_};
        } else if (entry->second.fingerprint != fingerprint) {
            RC_ASSERT(std::holds_alternative<KeyReused>(result));
        } else if (!entry->second.response) {
            RC_ASSERT(std::holds_alternative<StillRunning>(result));
        } else {
            RC_ASSERT(std::get<AlreadyAnswered>(result).response == *entry->second.response);
        }
    }

    void finish(const std::string &key, const std::string &response)
    {
        cache_.finish(key, response);
        if (const auto entry = known_.find(key); entry != known_.end())
            entry->second.response = response;
    }

    void remove(const std::string &key)
    {
        cache_.remove(key);
        known_.erase(key);
    }

    void advance(std::chrono::seconds step) { now_ += step; }

private:
    struct Known
    {
        std::uint64_t fingerprint = 0;
        std::optional<std::string> response;
        IdempotencyCache::TimePoint since;
    };

    IdempotencyCache::TimePoint now_{std::chrono::hours(1)};
    IdempotencyCache cache_;
    std::map<std::string, Known> known_;
};

class CacheStep : public Step<Checked>
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
            return checked.remove(key);
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
    checkProperty("a repeat of a key is recognized until its lifetime ends", [] {
        Checked checked;
        rc::state::check(NoModel(), checked, rc::state::gen::execOneOfWithArgs<CacheStep>());
    });
}

TEST(IdempotencyCache, LargeResponseIsNotStoredAndNotRunAgain)
{
    IdempotencyCache cache;
    const IdempotencyCache::TimePoint now{std::chrono::hours(1)};
    cache.begin(now, "key", 1);
    cache.finish("key", std::string(MaxCachedResponseBytes + 1, 'x'));
    CHECK_TRUE(std::holds_alternative<StillRunning>(cache.begin(now, "key", 1)));
}

TEST(IdempotencyCache, FullCacheStoresNoFurtherKey)
{
    IdempotencyCache cache;
    const IdempotencyCache::TimePoint now{std::chrono::hours(1)};
    for (std::size_t index = 0; index < MaxIdempotencyKeys; ++index)
        cache.begin(now, std::to_string(index), 1);
    CHECK_TRUE(std::holds_alternative<IdempotencyCacheFull>(cache.begin(now, "one more", 1)));
}
