#pragma once

#include "store/objectclient.h"

#include <cstdint>
#include <string>
#include <utility>
#include <variant>

namespace Fleet {

/// The store as the balancers see it that read and write the record of former targets.
class RecordStore
{
public:
    boost::leaf::result<Store::Object> read(const std::string &key)
    {
        if (version == 0)
            return failure(Store::FailureKind::NotFound);
        return Store::Object{key, Store::Version(version, storeTimeline), value};
    }

    boost::leaf::result<Store::Version> write(const std::string &, const std::string &newValue,
                                              Store::Precondition precondition)
    {
        const auto *const expected = std::get_if<Store::IfVersion>(&precondition);
        if (version != (expected ? expected->version.number() : 0))
            return failure(Store::FailureKind::Conflict);
        valueCopy = std::exchange(value, newValue);
        ++version;
        ++writes;
        return Store::Version(version, storeTimeline);
    }

    boost::leaf::result<Store::Listing> list(const std::string &) const
    {
        return failure(Store::FailureKind::Malformed);
    }
    boost::leaf::result<Store::Version> remove(const std::string &, Store::Version) const
    {
        return failure(Store::FailureKind::Malformed);
    }
    boost::leaf::result<Store::Changes> watch(const std::string &, Store::Revision,
                                              std::chrono::milliseconds) const
    {
        return failure(Store::FailureKind::Malformed);
    }
    Store::Timeline timeline() const { return storeTimeline; }

    void restore(Store::Timeline next)
    {
        value = valueCopy;
        storeTimeline = next;
    }

    std::uint64_t version = 0; ///< 0: there is no record
    std::uint64_t writes = 0;
    std::string value;
    std::string valueCopy; ///< before the latest write
    Store::Timeline storeTimeline{1};

private:
    static boost::leaf::error_id failure(Store::FailureKind kind)
    {
        return boost::leaf::new_error(Store::Failure{kind});
    }
};

} // namespace Fleet
