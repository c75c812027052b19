#include "configuration/LogReader.h"

#include "platformstore/KeyValueStore.h"

#include <QJsonDocument>

namespace cranberry {

namespace {

/// A snapshot is replaced every 64 changes; to lose this many races running means that the
/// platform answers too slowly to be of use.
constexpr int MostRestarts = 5;

Error unreadable(const QString &detail)
{
    Error error;
    error.kind = ErrorKind::PlatformUnavailable;
    error.detail = detail;
    return error;
}

} // namespace

void LogReader::read(ConfigurationVersion from, Callback callback)
{
    m_from = from;
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
        if (m_from < m_page.base->trimmed)
            readParts();
        else
            finishWith(std::nullopt);
    }));
}

void LogReader::readParts()
{
    m_document.clear();
    if (m_page.base->parts < 1)
        finish(unreadable(QStringLiteral("the base record names no snapshot")));
    else
        m_platform.read(
            snapshotPartKey(*m_page.base, 0),
            m_guard.wrap([this](const Result<KeyValue> &value) { partRead(0, value); }));
}

void LogReader::partRead(int part, const Result<KeyValue> &value)
{
    if (!value.has_value()) {
        finish(value.error());
        return;
    }
    if (value.value().revision == Revision()) {
        // Another daemon wrote a newer snapshot and removed this one while it was being read.
        restart();
        return;
    }
    m_document += value.value().value;
    const int next = part + 1;
    if (next < m_page.base->parts) {
        m_platform.read(snapshotPartKey(*m_page.base, next),
                        m_guard.wrap([this, next](const Result<KeyValue> &nextValue) {
                            partRead(next, nextValue);
                        }));
        return;
    }
    const QJsonDocument document = QJsonDocument::fromJson(m_document);
    if (document.isObject())
        finishWith(document.object());
    else
        finish(unreadable(QStringLiteral("the snapshot is not a JSON object")));
}

void LogReader::finishWith(std::optional<QJsonObject> snapshot)
{
    ConfigurationVersion reached = snapshot ? m_page.base->snapshot : m_from;
    for (const ConfigurationChange &change : m_page.changes) {
        if (change.version <= reached)
            continue;
        if (change.version != reached + ConfigurationVersion(1)) {
            finish(unreadable(QStringLiteral("the change to version %1 is missing or unreadable")
                                  .arg(reached.value() + 1)));
            return;
        }
        reached = change.version;
    }
    finish(LogContents{m_page, std::move(snapshot), reached});
}

void LogReader::finish(Result<LogContents> result)
{
    const Callback callback = std::exchange(m_callback, {});
    callback(std::move(result));
}

void LogReader::restart()
{
    ++m_restarts;
    if (m_restarts > MostRestarts)
        finish(unreadable(QStringLiteral("the snapshot changed while it was read")));
    else
        listChanges();
}

} // namespace cranberry
