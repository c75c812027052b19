#include "support/CtlRun.h"

#include "support/EventLoop.h"

#include <QFile>
#include <QProcess>
#include <QTemporaryDir>

#include <stdexcept>

namespace cranberry::test {

CtlRun runCtl(const QStringList &arguments)
{
    QProcess process;
    process.start(QStringLiteral(CRANBERRY_PROGRAM_DIRECTORY "/cranberryctl"), arguments);
    CtlRun run;
    if (!waitFor([&] { return process.state() == QProcess::NotRunning; }))
        process.kill();
    process.waitForFinished();
    if (process.exitStatus() == QProcess::NormalExit && process.error() == QProcess::UnknownError)
        run.exitCode = process.exitCode();
    run.output = process.readAllStandardOutput();
    run.errors = process.readAllStandardError();
    return run;
}

QString temporaryFile(const QString &name, const QByteArray &content)
{
    static const QTemporaryDir folder;
    QFile file(folder.filePath(name));
    if (!file.open(QIODevice::WriteOnly) || file.write(content) != content.size())
        throw std::runtime_error("cannot write " + file.fileName().toStdString());
    return file.fileName();
}

} // namespace cranberry::test
