#pragma once

#include <QString>

namespace cranberry {

/// An invalid member of a settings file.
struct SettingsFault {
    /// The path of the member, what is allowed and what was found.
    QString text;
    /// What is used instead.
    QString used;
    /// Nothing can be used instead: a process cannot run with such a file.
    bool isFatal = false;
};

} // namespace cranberry
