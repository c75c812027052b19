#include "daemon/SettingsFaults.h"

namespace cranberry {

void SettingsFaults::noteUnread()
{
    for (const QString &path : std::as_const(m_present)) {
        if (!m_read.contains(path))
            add(QStringLiteral("%1: unknown member; remove it or correct its name").arg(path));
    }
}

} // namespace cranberry
