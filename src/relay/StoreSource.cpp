#include "relay/StoreSource.h"

namespace cranberry {

const char *textOf(StoreSource source)
{
    switch (source) {
    case StoreSource::None:
        return "none";
    case StoreSource::Read:
        return "read";
    case StoreSource::Watch:
        return "watch";
    case StoreSource::Feed:
        return "feed";
    case StoreSource::Peer:
        return "peer";
    }
    return "";
}

} // namespace cranberry
