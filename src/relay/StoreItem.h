// Defines StoreItem, one key of the platform's store as a read or a watch shows it.
#pragma once

#include "platformstore/KeyValue.h"

namespace cranberry {

struct StoreItem {
    QString key;
    QByteArray value;
    Revision revision;
    /// The key was removed at that revision.
    bool isRemoved = false;
};

} // namespace cranberry
