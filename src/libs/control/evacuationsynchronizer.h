#pragma once

#include "control/prefixwatcher.h"
#include "model/evacuations.h"

#include <functional>
#include <string>

namespace Control {

/// Follows which failure domains are evacuated: one object of the store for each, whose name is the
/// domain's. The contents of an object don't matter, so that an unreadable one counts too.
template<Store::ObjectClient Client>
class EvacuationSynchronizer
{
public:
    struct Options
    {
        typename PrefixWatcher<Client>::Options watch; ///< the prefix ends before the domain's name
        /// Called by step() after each response, also if no domain changed.
        std::function<void(const Model::Evacuations &)> changed;
    };

    /// \a client must outlive this object and must not be used elsewhere.
    EvacuationSynchronizer(Client &client, Options options)
        : options_(std::move(options))
        , watcher_(client, options_.watch)
    {}

    /// Makes the next call, if one is due, and blocks until its end. Returns how long to wait
    /// before the next step. Must always be called on the same thread.
    std::chrono::milliseconds step() { return watcher_.step(*this); }

    /// Whether the last call to the store succeeded. Thread-safe.
    bool lastCallSucceeded() const { return watcher_.lastCallSucceeded(); }

    /// Announces that the client is about to be aborted, so that the failure is not logged.
    /// Thread-safe.
    void onStopping() { watcher_.onStopping(); }

    /// Called by step().
    void onListing(const Store::Listing &listing)
    {
        evacuations_ = {listing.revision, {}};
        for (const Store::Object &object : listing.objects)
            evacuations_.domains.insert(domainOf(object.key));
        options_.changed(evacuations_);
    }

    /// Called by step().
    void onChanges(const Store::Changes &changes)
    {
        // The objects of another timeline are listed anew.
        if (changes.revision < evacuations_.asOf
            || changes.revision.timeline() != evacuations_.asOf.timeline())
            return;
        evacuations_.asOf = changes.revision;
        for (const Store::Change &change : changes.changes) {
            if (change.value)
                evacuations_.domains.insert(domainOf(change.key));
            else
                evacuations_.domains.erase(domainOf(change.key));
        }
        options_.changed(evacuations_);
    }

private:
    std::string domainOf(const std::string &key) const
    {
        return key.substr(options_.watch.prefix.size());
    }

    Options options_;
    PrefixWatcher<Client> watcher_;
    Model::Evacuations evacuations_;
};

} // namespace Control
