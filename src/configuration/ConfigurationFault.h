// Defines ConfigurationFault, one thing that is wrong with a configuration document.
#pragma once

#include <QString>

namespace cranberry {

/// One fault of a document.
struct ConfigurationFault {
    /// JSON path, such as "targets.t1.url".
    QString path;
    /// What is allowed and the value found.
    QString message;

    /// One line: the path, a colon and the message.
    QString text() const { return path + QLatin1String(": ") + message; }

    friend bool operator==(const ConfigurationFault &a, const ConfigurationFault &b)
    {
        return a.path == b.path && a.message == b.message;
    }
};

} // namespace cranberry
