// Defines FeedMessage, what daemons that hear of the platform's store tell the others.
#pragma once

#include "base/Units.h"
#include "relay/StalenessPlan.h"
#include "relay/StoreItem.h"

#include <QCborArray>
#include <QList>

#include <optional>

namespace cranberry {

/// How the sender of a message hears of the store.
enum class FeedStanding {
    /// It has lost the store and hears of nobody who has it.
    Away,
    /// It watches the store itself.
    Watches,
    /// It passes on what another one watches.
    PassesOn,
};

/// Without items it is a heartbeat.
struct FeedMessage {
    FeedStanding standing = FeedStanding::Away;
    /// The items are the changes of targets after this revision, up to the other one.
    Revision base;
    Revision upTo;
    QList<StoreItem> items;
    /// The revision that a copy of the configuration must have reached to be confirmed by this one.
    Revision configuration;
    /// So long ago the configuration of the sender was last confirmed.
    Milliseconds configurationAge = UnknownAge;
    /// Targets that it knows.
    qint64 targets = 0;
    /// All changes of targets until so long ago are among those up to upTo.
    Milliseconds targetsAge = UnknownAge;
};

/// Messages that each fit a datagram and together say what @p message says; one for a heartbeat.
/// Thread-safe.
QList<FeedMessage> splitForDatagrams(const FeedMessage &message);

/// Items are compressed: entries of targets repeat the names of their fields. Thread-safe.
QCborArray encodeFeed(const FeedMessage &message);

/// None if it is no such message, or a damaged one. Thread-safe.
std::optional<FeedMessage> decodeFeed(const QCborArray &body);

/// An age as another daemon tells it; UnknownAge if it tells none. Thread-safe.
Milliseconds decodeAge(const QCborValue &value);

} // namespace cranberry
