#include "configuration/LogReader.h"

#include "platformstore/KeyValueStore.h"

#include <QJsonDocument>

namespace cranberry {

namespace {

/// Restarts allowed because the snapshot was replaced while it was being read. Snapshots are
/// replaced every 64 changes, so further restarts mean that the platform answers too slowly for a
/// read to succeed.
constexpr int MaxRestarts = 5;

Error unreadableLogError(const QString &detail)
{
    Error error;
    error.kind = ErrorKind::PlatformUnavailable;
    error.detail = detail;
    return error;
}

} // namespace

void LogReader::read(ConfigurationVersion from, Callback callback)
{
    m_fromVersion = from;
    m_callback = std::move(callback);
    m_restarts = 0;
    listChanges();
}

void LogReader::listChanges()
{
    m_platform.list(ChangePrefix, m_guard.wrap([this](const Result<QList<KeyValue>> &entries) {
        if (!entries.has_value()) {
            finish(entries.error());
            return;
        }
        m_page = readLogPage(entries.value());
        if (!m_page.base)
            m_page.base = LogBase();
        if (m_fromVersion < m_page.base->trimmedVersion)
            readSnapshot();
        else
            completeRead(std::nullopt);
    }));
}

void LogReader::readSnapshot()
{
    m_snapshotBytes.clear();
    if (m_page.base->partCount < 1)
        finish(unreadableLogError(QStringLiteral("the base record names no snapshot")));
    else
        m_platform.read(
            snapshotPartKey(*m_page.base, 0),
            m_guard.wrap([this](const Result<KeyValue> &value) { onPartRead(0, value); }));
}

void LogReader::onPartRead(int part, const Result<KeyValue> &value)
{
    if (!value.has_value()) {
        finish(value.error());
        return;
    }
    if (value.value().revision == Revision()) {
        // Another daemon has written a newer snapshot and removed this one during the read.
        restart();
        return;
    }
    m_snapshotBytes += value.value().value;
    const int next = part + 1;
    if (next < m_page.base->partCount) {
        m_platform.read(snapshotPartKey(*m_page.base, next),
                        m_guard.wrap([this, next](const Result<KeyValue> &nextValue) {
                            onPartRead(next, nextValue);
                        }));
        return;
    }
    const QJsonDocument document = QJsonDocument::fromJson(m_snapshotBytes);
    if (document.isObject())
        completeRead(document.object());
    else
        finish(unreadableLogError(QStringLiteral("the snapshot is not a JSON object")));
}

void LogReader::completeRead(std::optional<QJsonObject> snapshot)
{
    ConfigurationVersion platformVersion = snapshot ? m_page.base->snapshotVersion : m_fromVersion;
    for (const ConfigurationChange &change : m_page.changes) {
        if (change.version <= platformVersion)
            continue;
        if (change.version != platformVersion + ConfigurationVersion(1)) {
            finish(unreadableLogError(
                QStringLiteral("the change to version %1 is missing or unreadable")
                    .arg(platformVersion.value() + 1)));
            return;
        }
        platformVersion = change.version;
    }
    finish(LogContents{m_page, std::move(snapshot), platformVersion});
}

void LogReader::finish(Result<LogContents> result)
{
    const Callback callback = std::exchange(m_callback, {});
    callback(std::move(result));
}

void LogReader::restart()
{
    ++m_restarts;
    if (m_restarts > MaxRestarts)
        finish(unreadableLogError(
            QStringLiteral("the snapshot was replaced repeatedly while it was being read")));
    else
        listChanges();
}

} // namespace cranberry
