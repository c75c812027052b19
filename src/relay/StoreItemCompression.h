#pragma once

#include "relay/StoreItem.h"

#include <QByteArray>
#include <QList>

#include <optional>

namespace cranberry {

/// Encodes @p items as compressed CBOR for other daemons. Returns no bytes if there are no items.
/// Thread-safe.
QByteArray compressItems(const QList<StoreItem> &items);

/// Decodes the result of compressItems. Returns nullopt if the data is corrupt: with an empty list
/// instead, a daemon would advance its revision without applying the changes. Thread-safe.
std::optional<QList<StoreItem>> decompressItems(const QByteArray &bytes);

} // namespace cranberry
