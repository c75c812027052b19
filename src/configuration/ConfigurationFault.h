#pragma once

#include <QString>

namespace cranberry {

/// One validation error of a configuration document.
struct ConfigurationFault {
    /// JSON path, such as "targets.t1.url".
    QString path;
    /// The allowed values and the actual value.
    QString message;

    /// One line: the path, a colon and the message.
    QString text() const { return path + QLatin1String(": ") + message; }

    friend bool operator==(const ConfigurationFault &a, const ConfigurationFault &b)
    {
        return a.path == b.path && a.message == b.message;
    }
};

} // namespace cranberry
