#pragma once

#include "base/Result.h"
#include "load/LoadSession.h"

#include <QList>
#include <QString>

namespace cranberry::load {

/// The parsed command line of cranberry-load.
struct LoadCommand {
    LoadTargets targets;
    TrafficMix mix;
    LoadLimits limits;
    QList<quint64> seeds;
    /// The service whose placement policy is changed by a comparison.
    QString service;
    /// The policies to compare; empty for a plain measurement.
    QList<QString> policies;
    /// Paths of the files to write; empty for none.
    QString jsonFile;
    QString plotFile;
    QString title;
};

/// Registers the text of --help with gflags.
void registerUsage();

/// Reads the flags and the positional @p arguments. Error BadRequest with a line that names the
/// flag, the allowed values and the given one. Precondition: gflags has parsed the command line.
Result<LoadCommand> readCommand(const QList<QString> &arguments);

} // namespace cranberry::load
