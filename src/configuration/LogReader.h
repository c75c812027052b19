#pragma once

#include "base/Result.h"
#include "configuration/CallbackGuard.h"
#include "configuration/ConfigurationLog.h"

#include <QJsonObject>

#include <functional>

namespace cranberry {

class KeyValueStore;

/// The data that leads from one version to the latest version in the platform's service.
struct LogContents {
    LogPage page;
    /// Document of version `page.base->snapshotVersion`; absent if the changes reach back far
    /// enough.
    std::optional<QJsonObject> snapshot;
    /// Latest version in the platform's service.
    ConfigurationVersion platformVersion;
};

/// Reads the changes, and if needed the newest snapshot, from the platform's service.
/// Thread safety: only from the thread of the key-value store.
class LogReader
{
public:
    using Callback = std::function<void(Result<LogContents>)>;

    /// Precondition: @p platform outlives the reader.
    explicit LogReader(KeyValueStore &platform)
        : m_platform(platform)
    {
    }

    /// Reads the data that leads from version @p from to the latest version. @p callback is not
    /// called if the reader is destroyed first. Precondition: no read is in progress.
    void read(ConfigurationVersion from, Callback callback);

private:
    void listChanges();
    void readSnapshot();
    void onPartRead(int part, const Result<KeyValue> &value);
    void completeRead(std::optional<QJsonObject> snapshot);
    void finish(Result<LogContents> result);
    void restart();

    KeyValueStore &m_platform;
    ConfigurationVersion m_fromVersion;
    Callback m_callback;
    LogPage m_page;
    QByteArray m_snapshotBytes;
    int m_restarts = 0;
    internal::CallbackGuard m_guard;
};

} // namespace cranberry
