#pragma once

#include "quarantine/CrashRecord.h"

#include <QCborArray>

#include <optional>

namespace cranberry {

enum class CrashMessageKind {
    /// Records that changed, or that another daemon lacks.
    Records,
    /// Asks for permission to make the run that id names, in the only record.
    Ask,
    /// Permission for the run that id names.
    Grant,
    /// No permission; the record says why.
    Refuse,
    /// The digest of all records.
    Digest,
    /// Asks for all records.
    Pull,
    /// Answers Pull.
    PullAnswer,
};

/// A message between daemons about requests that may crash targets.
struct CrashMessage {
    CrashMessageKind kind = CrashMessageKind::Records;
    SuspicionId id;
    quint64 digest = 0;
    QList<CrashRecord> records;
};

/// Maximum number of records in a message, so that it fits into a datagram.
constexpr qsizetype MaxRecordsPerMessage = 8;

/// Times are sent as ages. Thread-safe.
QCborArray crashMessageToCbor(const CrashMessage &message, MonotonicTime now);

/// Empty if @p body is malformed. Thread-safe.
std::optional<CrashMessage> crashMessageFromCbor(const QCborArray &body, MonotonicTime now);

} // namespace cranberry
