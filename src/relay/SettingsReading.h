#pragma once

#include "daemon/SettingsFault.h"
#include "relay/RelaySettings.h"

#include <QList>

namespace cranberry {

/// What was read from a settings file.
struct SettingsReading {
    /// Unspecified if there is a fatal fault.
    RelaySettings settings;
    QList<SettingsFault> faults;

    /// The first fault with which a daemon cannot run; null if there is none. Thread-safe.
    const SettingsFault *fatalFault() const
    {
        for (const SettingsFault &fault : faults) {
            if (fault.isFatal)
                return &fault;
        }
        return nullptr;
    }
};

} // namespace cranberry
