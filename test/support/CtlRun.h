// Defines runCtl, one run of cranberryctl as a process.
#pragma once

#include <QByteArray>
#include <QString>
#include <QStringList>

namespace cranberry::test {

struct CtlRun {
    /// -1 if the program did not end by itself.
    int exitCode = -1;
    QByteArray output;
    QByteArray errors;
};

/// Runs cranberryctl with @p arguments while the event loop runs, so that a server of the test
/// can answer it.
CtlRun runCtl(const QStringList &arguments);

/// The path of a new file with @p content in a folder that lasts as long as the program.
QString temporaryFile(const QString &name, const QByteArray &content);

} // namespace cranberry::test
