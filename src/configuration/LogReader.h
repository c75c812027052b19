// Defines LogReader, which reads snapshot and changes from the platform's service.
#pragma once

#include "base/Result.h"
#include "configuration/ConfigurationLog.h"
#include "configuration/LifeGuard.h"

#include <QJsonObject>

#include <functional>

namespace cranberry {

class KeyValueStore;

/// What is needed to go from one version to the platform's.
struct LogContents {
    LogPage page;
    /// Document of the version `page.base->snapshot`; absent if the changes reach back far
    /// enough.
    std::optional<QJsonObject> snapshot;
    /// The platform's version.
    ConfigurationVersion reached;
};

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

    /// Reads what leads from @p from on. @p callback is dropped if the reader is destroyed.
    /// Precondition: no read is under way.
    void read(ConfigurationVersion from, Callback callback);

private:
    void listChanges();
    void readParts();
    void partRead(int part, const Result<KeyValue> &value);
    void finishWith(std::optional<QJsonObject> snapshot);
    void finish(Result<LogContents> result);
    void restart();

    KeyValueStore &m_platform;
    ConfigurationVersion m_from;
    Callback m_callback;
    LogPage m_page;
    QByteArray m_document;
    int m_restarts = 0;
    internal::LifeGuard m_guard;
};

} // namespace cranberry
