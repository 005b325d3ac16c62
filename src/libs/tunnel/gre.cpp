#include "tunnel/gre.h"

#include <algorithm>

namespace Tunnel {

std::optional<Bytes> unwrapGre(Bytes datagram)
{
    if (datagram.size() <= GreHeaderBytes)
        return std::nullopt;
    if (!std::equal(GreHeader.begin(), GreHeader.end(), datagram.begin()))
        return std::nullopt;
    return datagram.subspan(GreHeaderBytes);
}

} // namespace Tunnel
