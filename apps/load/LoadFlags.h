// Defines the command line of cranberry-load.
#pragma once

#include "base/Result.h"
#include "load/LoadSession.h"

#include <QList>
#include <QString>

namespace cranberry::load {

struct LoadCommand {
    LoadTargets targets;
    TrafficMix mix;
    LoadLimits limits;
    QList<quint64> seeds;
    QString service;
    /// Empty unless policies are compared.
    QList<QString> policies;
    /// Paths of the files to write; empty for none.
    QString jsonFile;
    QString plotFile;
    QString title;
};

/// Registers the text of --help.
void setUsage();

/// Reads the flags, which gflags has parsed, and the words left after them.
/// Error BadRequest: one line that names the flag, what it holds and what is allowed.
Result<LoadCommand> readCommand(const QList<QString> &words);

} // namespace cranberry::load
