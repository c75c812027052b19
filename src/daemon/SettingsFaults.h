#pragma once

#include "daemon/SettingsFault.h"

#include <QList>
#include <QSet>

namespace cranberry {

/// The faults found while a settings file is parsed, in order of detection. It also tracks which
/// members of the file are known, so that an unknown member, such as a misspelt one, is a fault.
/// Thread safety: none; one object serves one parse.
class SettingsFaults
{
public:
    void add(const SettingsFault &fault) { m_faults.append(fault); }
    const QList<SettingsFault> &all() const { return m_faults; }
    bool isEmpty() const { return m_faults.isEmpty(); }
    /// The text of the first fault. Precondition: not empty.
    const QString &first() const { return m_faults.first().text; }

    /// Records that the file contains the member at @p path.
    void addPresentMember(const QString &path) { m_presentMembers.append(path); }
    /// Records that the member at @p path is a known setting.
    void addKnownMember(const QString &path) { m_knownMembers.insert(path); }
    /// Adds a fault for each present member that is not known.
    void addUnknownMembers();

private:
    QList<SettingsFault> m_faults;
    QList<QString> m_presentMembers;
    QSet<QString> m_knownMembers;
};

} // namespace cranberry
