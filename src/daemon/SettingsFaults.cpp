#include "daemon/SettingsFaults.h"

namespace cranberry {

void SettingsFaults::addUnknownMembers()
{
    for (const QString &path : std::as_const(m_presentMembers)) {
        if (!m_knownMembers.contains(path))
            add({QStringLiteral("%1: unknown member; remove it or correct its name").arg(path),
                 QStringLiteral("ignored")});
    }
}

} // namespace cranberry
