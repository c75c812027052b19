// Defines the commands of cranberryctl.
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

struct CommandOptions {
    /// The first is asked; `apply --wait` asks all if there are several.
    QList<HttpEndpoint> daemons;
    QByteArray token;
    bool json = false;
    bool wait = false;
    Milliseconds waitLimit{30'000};
    /// The version that the file was made from; the present one if it is not given.
    std::optional<qint64> expectedVersion;
};

/// Names and one-line descriptions of all commands, for the help.
QString commandList();

/// Runs @p words, a command and its arguments; prints the outcome to stdout and what is wrong
/// to stderr. Precondition: a QCoreApplication exists and its event loop does not run.
ExitCode runCommand(const QStringList &words, const CommandOptions &options);

} // namespace cranberry::ctl
