// Defines StoreAnswer, what a read or a watch of the platform's store yields.
#pragma once

#include "relay/StoreItem.h"

#include <QList>

namespace cranberry {

struct StoreAnswer {
    enum class Kind {
        Items,
        /// The history asked for is gone; a new read is needed.
        Compacted,
        /// Refused, or no answer that can be read.
        Unavailable,
    };

    Kind kind = Kind::Unavailable;
    QList<StoreItem> items;
    /// There is a further page after the last item.
    bool hasMore = false;
    /// The store's revision that the answer stands for.
    Revision asOf;
};

} // namespace cranberry
