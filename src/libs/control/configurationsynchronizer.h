#pragma once

#include "configuration/checkedjson.h"
#include "configuration/generationgate.h"
#include "control/prefixwatcher.h"
#include "observability/log.h"
#include "routing/routehistory.h"

#include <functional>
#include <mutex>
#include <string>

namespace Control {

/// Keeps the configuration in force up to date with one object of a store, one call at a time.
///
/// Accepts only configurations with a greater generation, so that a stale response changes nothing.
template<Store::ObjectClient Client>
class ConfigurationSynchronizer
{
public:
    struct Options
    {
        std::string key; ///< of the configuration
        typename PrefixWatcher<Client>::Options watch;
        /// Parses an object's value; fails with Configuration::FileError. Called by step().
        std::function<boost::leaf::result<Model::Configuration>(const std::string &)> decode;
        /// Called by step() and offer(), with a lock held: must not call back into this object.
        std::function<void(const Model::Configuration &, Routing::Succession)> changed;
    };

    /// \a client must outlive this object and must not be used elsewhere.
    ConfigurationSynchronizer(Client &client, Options options)
        : options_(std::move(options))
        , watcher_(client, options_.watch)
    {}

    /// Makes the next call, if one is due, and blocks until its end. Returns how long to wait
    /// before the next step. Must always be called on the same thread.
    std::chrono::milliseconds step() { return watcher_.step(*this); }

    /// Puts \a configuration, which \a source provided, in force if its generation is greater than
    /// the current one. \a source is a peer's name for the log. Returns whether it was accepted.
    /// Thread-safe.
    bool offer(const Model::Configuration &configuration, const std::string &source)
    {
        return accept(configuration, Routing::Succession::Unknown, source);
    }

    /// Returns the configuration in force; generation 0 before the first one. Thread-safe.
    Model::Configuration current() const
    {
        const std::lock_guard guard(gateMutex_);
        return gate_.current();
    }

    /// Whether the last call to the store succeeded. Thread-safe.
    bool lastCallSucceeded() const { return watcher_.lastCallSucceeded(); }

    /// Announces that the client is about to be aborted, so that the failure is not logged.
    /// Thread-safe.
    void onStopping() { watcher_.onStopping(); }

    /// Called by step().
    void onListing(const Store::Listing &listing)
    {
        for (const Store::Object &object : listing.objects)
            handleObject(object.key, object.value, Routing::Succession::Unknown);
    }

    /// Called by step().
    void onChanges(const Store::Changes &changes)
    {
        for (const Store::Change &change : changes.changes) {
            if (change.value)
                handleObject(change.key, *change.value, Routing::Succession::Direct);
        }
    }

private:
    bool accept(const Model::Configuration &configuration, Routing::Succession succession,
                const std::string &source)
    {
        const std::lock_guard guard(gateMutex_);
        const auto before = gate_.current().generation;
        if (!gate_.offer(configuration)) {
            if (configuration.generation != before)
                Observability::log(Observability::Level::Warning, "configuration-refused",
                                   {{"generation", std::uint64_t(configuration.generation)},
                                    {"inForce", std::uint64_t(before)},
                                    {"source", source}});
            return false;
        }
        Observability::log(Observability::Level::Info, "configuration-applied",
                           {{"generation", std::uint64_t(configuration.generation)},
                            {"before", std::uint64_t(before)},
                            {"routes", configuration.routes.size()},
                            {"source", source}});
        options_.changed(gate_.current(), succession);
        return true;
    }

    void handleObject(const std::string &key, const std::string &value,
                      Routing::Succession succession)
    {
        if (key != options_.key)
            return;
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(configuration, options_.decode(value));
                accept(configuration, succession, "store");
                return {};
            },
            [](const Configuration::FileError &error) {
                Observability::log(Observability::Level::Error, "configuration-unreadable",
                                   {{"error", Configuration::errorText(error)}});
            },
            [&key] {
                Observability::log(Observability::Level::Error, "configuration-unreadable",
                                   {{"error", key}});
            });
    }

    Options options_;
    PrefixWatcher<Client> watcher_;
    mutable std::mutex gateMutex_; ///< guards gate_
    Configuration::GenerationGate gate_;
};

} // namespace Control
