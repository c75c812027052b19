#pragma once

#include "base/Units.h"
#include "ctl/ExitCode.h"
#include "http/HttpEndpoint.h"

#include <QByteArray>
#include <QList>
#include <QString>
#include <QStringList>

#include <optional>

namespace cranberry::ctl {

/// Flags of cranberryctl that its commands use.
struct CommandOptions {
    /// Commands contact the first daemon; `apply --wait` polls all of them if several are given.
    QList<HttpEndpoint> daemons;
    /// The operator token; empty if none was read.
    QByteArray token;
    bool json = false;
    bool wait = false;
    /// Timeout of `apply --wait`.
    Milliseconds waitTimeout{30'000};
    /// The configuration version that the file is based on; the current version if empty.
    std::optional<qint64> expectedVersion;
};

/// Names and one-line descriptions of all commands, for the text of --help. Thread-safe.
QString commandList();

/// Runs the command named by the first of @p arguments with the remaining ones; prints the result
/// to stdout and errors to stderr.
/// Precondition: a QCoreApplication exists and its event loop is not running.
ExitCode runCommand(const QStringList &arguments, const CommandOptions &options);

} // namespace cranberry::ctl
