#pragma once

#include "admission/FleetDemand.h"
#include "admission/ReturnPromises.h"
#include "admission/WorkspaceUsage.h"

#include <QList>

#include <optional>

class QCborArray;

namespace cranberry {

/// What a daemon reports of one service. Demand messages have what waits and the use; the rates are
/// part of messages that daemons repeat anyway.
struct DemandReport {
    ServiceId service;
    DaemonDemand demand;
    QList<WorkspaceRate> usage;
};

/// A message to other daemons. To stay within one datagram it has either reports or promises.
struct DemandMessage {
    QList<DemandReport> reports;
    /// The service of the promises.
    ServiceId service;
    QList<ReturnPromise> promises;
};

constexpr qsizetype MaxReports = 2;
constexpr qsizetype MaxWaitingEntries = 12;
constexpr qsizetype MaxReportedWorkspaces = 8;
constexpr qsizetype MaxReportedLevels = 16;
constexpr qsizetype MaxPromisesInMessage = 30;

/// Encodes @p message; what exceeds the limits above is left out. Times become ages or remaining
/// times at @p now, as clocks are not comparable. Thread-safe.
QCborArray encodeDemand(const DemandMessage &message, MonotonicTime now);

/// Decodes a message that arrived at @p now; unset if it is not well-formed or a number is out of
/// range. Thread-safe.
std::optional<DemandMessage> decodeDemand(const QCborArray &body, MonotonicTime now);

/// Encodes the rates and the use of @p reports. Thread-safe.
QCborArray encodeRates(const QList<DemandReport> &reports);

/// Decodes rates; rows that are not well-formed are left out. Thread-safe.
QList<DemandReport> decodeRates(const QCborArray &rows);

} // namespace cranberry
