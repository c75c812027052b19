// Defines NewsItem, what another aggregate tells all daemons through heartbeats.
#pragma once

#include "base/Ids.h"
#include "peer/PeerMessageKind.h"

#include <QCborMap>
#include <QCborValue>

#include <optional>

namespace cranberry {

struct NewsItem {
    PeerMessageKind kind = PeerMessageKind::Quarantine;
    VmId origin;
    /// Random and never 0; a daemon takes each number once.
    qint64 number = 0;
    QCborMap body;
};

/// Thread-safe.
QCborValue newsToCbor(const NewsItem &item);

/// Empty if @p value is not a well-formed item. Thread-safe.
std::optional<NewsItem> newsFromCbor(const QCborValue &value);

} // namespace cranberry
