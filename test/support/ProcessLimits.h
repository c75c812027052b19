#pragma once

#include <QByteArray>
#include <QDir>
#include <QFile>
#include <QString>

namespace cranberry::test {

/// The largest resident set of @p process so far, in kB; 0 if it has ended.
inline qint64 peakKilobytes(qint64 process)
{
    QFile file(QStringLiteral("/proc/%1/status").arg(process));
    if (!file.open(QIODevice::ReadOnly))
        return 0;
    const QByteArray text = file.readAll();
    const QByteArray name = "VmHWM:";
    const qsizetype at = text.indexOf(name);
    return at < 0 ? 0 : text.mid(at + name.size()).simplified().split(' ').first().toLongLong();
}

/// Open descriptors of @p process; 0 if it has ended.
inline int openDescriptors(qint64 process)
{
    return int(QDir(QStringLiteral("/proc/%1/fd").arg(process))
                   .entryList(QDir::AllEntries | QDir::System | QDir::NoDotAndDotDot)
                   .size());
}

} // namespace cranberry::test
