#include "quarantine/CrashSubject.h"

#include <QStringList>

namespace cranberry {

QString partNames(const QList<CrashKey> &parts)
{
    QStringList names;
    for (const CrashKey &part : parts)
        names.append(part.part);
    return names.join(u',');
}

} // namespace cranberry
