#pragma once

#include "base/Units.h"
#include "relay/StalenessPlan.h"
#include "relay/StoreItem.h"

#include <QCborArray>
#include <QList>

#include <optional>

namespace cranberry {

/// How the sender of a message receives the changes of the store.
enum class FeedRole {
    /// It has lost the store and hears from no daemon that has access to it.
    Disconnected,
    /// It watches the store itself.
    Watcher,
    /// It forwards what another daemon watches.
    Forwarder,
};

/// A message in which a daemon that receives the changes of the platform's store sends them to
/// others. A message without items is a heartbeat.
struct FeedMessage {
    FeedRole role = FeedRole::Disconnected;
    /// The items are the changes of targets after revision base, up to revision upTo.
    Revision base;
    Revision upTo;
    QList<StoreItem> items;
    /// The revision that a copy of the configuration must have reached to be confirmed by this
    /// message.
    Revision configurationRevision;
    /// The time since the sender's configuration was last confirmed.
    Milliseconds configurationAge = UnknownAge;
    /// The number of targets that the sender knows.
    qint64 targetCount = 0;
    /// The changes up to upTo include all changes of targets until this long ago.
    Milliseconds targetsAge = UnknownAge;
};

/// Splits @p message into messages that each fit a datagram. Returns a single message for a
/// heartbeat. Thread-safe.
QList<FeedMessage> splitForDatagrams(const FeedMessage &message);

/// Encodes @p message. The items are compressed, as entries of targets repeat their field names.
/// Thread-safe.
QCborArray encodeFeedMessage(const FeedMessage &message);

/// Decodes a message. Returns nullopt if @p body is not a feed message or is corrupt. Thread-safe.
std::optional<FeedMessage> decodeFeedMessage(const QCborArray &body);

/// Decodes an age that another daemon sent; UnknownAge if @p value holds none. Thread-safe.
Milliseconds decodeAge(const QCborValue &value);

} // namespace cranberry
