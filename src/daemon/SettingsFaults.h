// Defines SettingsFaults, the faults found while a settings file is read.
#pragma once

#include <QList>
#include <QSet>
#include <QString>

namespace cranberry {

/// Collects faults in the order in which they were found, and which members were read, so
/// that a member nobody reads (a misspelt one) is a fault as well.
/// Thread safety: none; one object belongs to one reading.
class SettingsFaults
{
public:
    void add(const QString &fault) { m_faults.append(fault); }
    bool isEmpty() const { return m_faults.isEmpty(); }
    /// Precondition: not empty.
    const QString &first() const { return m_faults.first(); }

    /// Says that a member stands in the file.
    void notePresent(const QString &path) { m_present.append(path); }
    /// Says that a member is known.
    void noteRead(const QString &path) { m_read.insert(path); }
    /// Turns every present member that was not read into a fault.
    void noteUnread();

private:
    QList<QString> m_faults;
    QList<QString> m_present;
    QSet<QString> m_read;
};

} // namespace cranberry
