#pragma once

#include "platformstore/KeyValue.h"

namespace cranberry {

/// One key of the platform's store as returned by a read or a watch.
struct StoreItem {
    QString key;
    QByteArray value;
    Revision revision;
    /// The key was removed at this revision.
    bool isRemoved = false;
};

} // namespace cranberry
