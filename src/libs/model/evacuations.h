#pragma once

#include "store/revision.h"

#include <set>
#include <string>

namespace Model {

/// The failure domains that the operator has evacuated, as of one revision of the store. Their
/// backend servers get no new flows.
struct Evacuations
{
    /// Position up to which all changes are contained. Position 0: nothing is known yet.
    Store::Revision asOf{};
    std::set<std::string> domains;

    bool isKnown() const { return asOf != Store::Revision(); }

    bool contains(const std::string &failureDomain) const
    {
        return domains.contains(failureDomain);
    }

    bool operator==(const Evacuations &) const = default;
};

} // namespace Model
