// Defines CompressedItemsCache, which holds the most recent result of compressing store items.
#pragma once

#include "base/Ids.h"
#include "platformstore/KeyValue.h"

#include <QHash>

namespace cranberry {

struct CompressedItemsCache {
    /// The revisions of the compressed items, by key.
    QHash<QString, Revision> revisions;
    QByteArray bytes;
};

} // namespace cranberry
