#include "requests/idempotencycache.h"

#include <xxhash.h>

namespace Requests {

IdempotencyResult IdempotencyCache::begin(TimePoint now, const std::string &key,
                                          std::uint64_t fingerprint)
{
    expire(now);
    if (const auto known = entries_.find(key); known != entries_.end()) {
        const Entry &entry = known->second;
        if (entry.fingerprint != fingerprint)
            return KeyReused{};
        if (!entry.isOver)
            return StillRunning{};
        return AlreadyAnswered{entry.response};
    }
    if (entries_.size() >= MaxIdempotencyKeys)
        return IdempotencyCacheFull{};
    entries_[key] = {fingerprint, false, {}, now};
    order_.emplace_back(now, key);
    return FirstRequest{};
}

void IdempotencyCache::finish(const std::string &key, std::string response)
{
    const auto known = entries_.find(key);
    if (known == entries_.end() || response.size() > MaxCachedResponseBytes)
        return;
    known->second.isOver = true;
    known->second.response = std::move(response);
}

void IdempotencyCache::remove(const std::string &key)
{
    entries_.erase(key);
}

void IdempotencyCache::expire(TimePoint now)
{
    while (!order_.empty() && now - order_.front().first >= IdempotencyKeyLifetime) {
        const auto &[since, key] = order_.front();
        // The key may have been removed and stored again since then.
        if (const auto entry = entries_.find(key);
            entry != entries_.end() && entry->second.since == since)
            entries_.erase(entry);
        order_.pop_front();
    }
}

std::uint64_t requestFingerprint(const HttpRequest &request)
{
    const std::uint64_t head = XXH3_64bits(request.target.data(), request.target.size());
    const std::uint64_t method = XXH3_64bits(request.method.data(), request.method.size());
    return XXH3_64bits_withSeed(request.body.data(), request.body.size(), head ^ (method << 1));
}

} // namespace Requests
