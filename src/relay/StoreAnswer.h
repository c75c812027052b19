#pragma once

#include "relay/StoreItem.h"

#include <QList>

namespace cranberry {

/// The result of a read or a watch of the platform's store.
struct StoreAnswer {
    enum class Kind {
        Items,
        /// The requested history was compacted; a new read is needed.
        Compacted,
        /// The call was refused, or its answer cannot be decoded.
        Unavailable,
    };

    Kind kind = Kind::Unavailable;
    QList<StoreItem> items;
    /// There is another page after the last item.
    bool hasMore = false;
    /// The revision of the store that the answer reflects.
    Revision asOf;
};

} // namespace cranberry
