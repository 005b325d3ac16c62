#include "model/identity.h"

#include <xxhash.h>

namespace Model {

InstanceId instanceId(std::string_view name)
{
    return InstanceId(XXH3_64bits(name.data(), name.size()));
}

ServiceId serviceId(std::string_view name)
{
    return ServiceId(XXH3_64bits(name.data(), name.size()));
}

std::string_view stateText(InstanceState state)
{
    switch (state) {
    case InstanceState::Ready:
        return "ready";
    case InstanceState::Draining:
        return "draining";
    case InstanceState::Suspect:
        return "suspect";
    }
    return "unknown";
}

} // namespace Model
