#pragma once

#include "quarantine/CrashKey.h"

#include <QList>

namespace cranberry {

/// What a request has in common with others if it crashes targets: all of it with its repeats, and
/// parts of its prompt with any other request.
struct CrashSubject {
    CrashKey request;
    QList<CrashKey> parts;
};

/// The names of @p parts for a log line. Thread-safe.
QString partNames(const QList<CrashKey> &parts);

} // namespace cranberry
