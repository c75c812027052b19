#pragma once

#include "base/Ids.h"
#include "platformstore/KeyValue.h"

#include <QHash>

namespace cranberry {

/// The most recent result of compressing store items.
struct CompressedItemsCache {
    /// The revisions of the compressed items, by key.
    QHash<QString, Revision> revisions;
    QByteArray bytes;
};

} // namespace cranberry
