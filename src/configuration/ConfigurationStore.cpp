#include "configuration/ConfigurationStore.h"

#include "base/EventLog.h"
#include "base/WorkerPool.h"
#include "configuration/ChangeSubmission.h"
#include "configuration/ConfigurationDocument.h"
#include "configuration/LogReader.h"
#include "configuration/SnapshotWriter.h"

#include <QJsonDocument>
#include <QUuid>

namespace cranberry {

namespace {

/// Changes kept for peers that are behind. Peers further behind receive the full document.
constexpr qsizetype MaxHistoryChanges = 4 * SnapshotInterval;
/// A change must fit, together with its encoding, into one value of the platform, at most 1 MB.
constexpr qsizetype MaxChangeBytes = 900 * 1024;

} // namespace

ConfigurationStore::ConfigurationStore(KeyValueStore &platform, WorkerPool &workers,
                                       TimerService &timers)
    : m_platform(platform)
    , m_workers(workers)
    , m_timers(timers)
    , m_logReader(std::make_unique<LogReader>(platform))
    , m_snapshotWriter(std::make_unique<SnapshotWriter>(platform))
{
}

ConfigurationStore::~ConfigurationStore() = default;

void ConfigurationStore::load(LoadCallback done)
{
    m_nextLoadCallbacks.push_back(std::move(done));
    if (!m_loading)
        startLoad();
}

void ConfigurationStore::startLoad()
{
    m_loading = true;
    m_runningLoadCallbacks = std::exchange(m_nextLoadCallbacks, {});
    m_logReader->read(m_state.version, [this](const Result<LogContents> &contents) {
        if (!contents.has_value()) {
            finishLoad(contents.error());
            return;
        }
        const LogContents &log = contents.value();
        if (log.snapshot)
            applyDocument(log.page.base->snapshotVersion, *log.snapshot);
        applyPage(log.page);
        if (log.platformVersion == ConfigurationVersion() && !m_state.configuration)
            putEmptyInForce();
        callAtVersion(log.platformVersion, [this] { finishLoad(m_state.version); });
    });
}

void ConfigurationStore::finishLoad(const Result<ConfigurationVersion> &result)
{
    m_loading = false;
    const std::vector<LoadCallback> finished = std::exchange(m_runningLoadCallbacks, {});
    for (const LoadCallback &done : finished) {
        if (done)
            done(result);
    }
    if (!m_nextLoadCallbacks.empty() && !m_loading)
        startLoad();
}

void ConfigurationStore::submit(ConfigurationVersion expected, const QJsonObject &document,
                                SubmitCallback callback)
{
    if (m_state.version < expected) {
        // The operator has seen a version that this daemon has not received yet.
        load([this, expected, document,
              callback = std::move(callback)](const Result<ConfigurationVersion> &loaded) {
            if (loaded.has_value() && expected <= m_state.version)
                validateAndSubmit(expected, document, callback);
            else if (loaded.has_value())
                callback({SubmitOutcome::VersionConflict, m_state.version, {}, {}});
            else
                callback({SubmitOutcome::PlatformUnavailable, m_state.version, {}, {}});
        });
        return;
    }
    validateAndSubmit(expected, document, std::move(callback));
}

void ConfigurationStore::validateAndSubmit(ConfigurationVersion expected,
                                           const QJsonObject &document, SubmitCallback callback)
{
    const ConfigurationVersion next(expected.value() + 1);
    const ChangeId id(QUuid::createUuid().toString(QUuid::WithoutBraces));
    const bool isExpectedCurrent = expected == m_state.version;
    const auto prepare = [before = m_state.document, document, next, id]() -> PreparedChange {
        PreparedChange prepared{validateDocument(document), {next, id, {}}};
        if (prepared.faults.isEmpty())
            prepared.change.patch = mergePatchBetween(before, document);
        const qsizetype size = encodeChange(prepared.change).size();
        if (size > MaxChangeBytes) {
            prepared.faults.append({QStringLiteral("(document)"),
                                    QStringLiteral("expected a change of at most %1 bytes, got %2; "
                                                   "submit it in several steps")
                                        .arg(MaxChangeBytes)
                                        .arg(size)});
        }
        return prepared;
    };
    m_workers.run(
        &m_context, prepare,
        [this, isExpectedCurrent, callback = std::move(callback)](const PreparedChange &change) {
            if (!change.faults.isEmpty())
                callback({SubmitOutcome::Invalid, m_state.version, change.faults, {}});
            else if (isExpectedCurrent)
                startSubmission(change.change, callback);
            else
                callback({SubmitOutcome::VersionConflict, m_state.version, {}, {}});
        });
}

void ConfigurationStore::startSubmission(const ConfigurationChange &change,
                                         const SubmitCallback &callback)
{
    const quint64 submissionId = ++m_lastSubmissionId;
    auto submission = std::make_unique<ChangeSubmission>(
        m_platform, m_timers, change,
        [this, submissionId, change, callback](CommitOutcome outcome, const LogBase &base) {
            const auto finished = m_submissions.extract(submissionId);
            finishSubmission(outcome, change, base, callback);
        });
    ChangeSubmission &started = *submission;
    m_submissions.emplace(submissionId, std::move(submission));
    started.start();
}

void ConfigurationStore::finishSubmission(CommitOutcome outcome, const ConfigurationChange &change,
                                          const LogBase &base, const SubmitCallback &callback)
{
    const QString version = QString::number(change.version.value());
    switch (outcome) {
    case CommitOutcome::Accepted:
        logEvent(LogLevel::Info, EventId::ConfigurationAccepted,
                 {{"version", version}, {"change", change.id.text()}});
        applyChanges({change});
        callAtVersion(change.version, [this, change, base, callback] {
            callback({SubmitOutcome::Accepted, change.version, {}, change.id});
            writeSnapshotIfDue(base);
        });
        return;
    case CommitOutcome::Conflict:
        logEvent(LogLevel::Info, EventId::ConfigurationRejected,
                 {{"version", version}, {"change", change.id.text()}, {"reason", "conflict"}});
        load([this, change, callback](const Result<ConfigurationVersion> &) {
            callback({SubmitOutcome::VersionConflict, m_state.version, {}, change.id});
        });
        return;
    case CommitOutcome::NotWritten:
        callback({SubmitOutcome::PlatformUnavailable, m_state.version, {}, change.id});
        return;
    case CommitOutcome::Unsettled:
        logEvent(LogLevel::Warning, EventId::ConfigurationRejected,
                 {{"version", version}, {"change", change.id.text()}, {"reason", "unsettled"}});
        callback({SubmitOutcome::Unsettled, m_state.version, {}, change.id});
        return;
    }
}

void ConfigurationStore::writeSnapshotIfDue(const LogBase &base)
{
    const bool isDue = m_state.version.value() - base.snapshotVersion.value() >= SnapshotInterval;
    if (!isDue || m_snapshotWriter->isBusy())
        return;
    const auto write = [document = m_state.document] {
        return QJsonDocument(document).toJson(QJsonDocument::Compact);
    };
    m_workers.run(&m_context, write,
                  [this, version = m_state.version, base](const QByteArray &document) {
                      if (!m_snapshotWriter->isBusy())
                          m_snapshotWriter->write(version, document, base);
                  });
}

void ConfigurationStore::onInForce(InForceCallback callback)
{
    m_subscribers.push_back(std::move(callback));
}

void ConfigurationStore::applyChanges(const QList<ConfigurationChange> &changes)
{
    for (const ConfigurationChange &change : changes) {
        if (m_state.version < change.version)
            m_pending.insert(change.version.value(), change);
    }
    applyPending();
}

void ConfigurationStore::applyDocument(ConfigurationVersion version, const QJsonObject &document)
{
    const bool isNewer =
        m_state.version < version && (!m_pendingDocument || m_pendingDocument->version < version);
    if (!isNewer)
        return;
    m_pendingDocument = PendingDocument{version, document};
    applyPending();
}

void ConfigurationStore::applyPage(const LogPage &page)
{
    if (page.base && m_trimmedVersion < page.base->trimmedVersion)
        m_trimmedVersion = page.base->trimmedVersion;
    // A key that was created again after it had been trimmed is not an accepted change: see
    // LogBase.
    QList<ConfigurationChange> validChanges = page.changes;
    validChanges.removeIf(
        [this](const ConfigurationChange &change) { return change.version <= m_trimmedVersion; });
    applyChanges(validChanges);
    if (m_state.version < m_trimmedVersion && !m_loading)
        load();
}

std::optional<QList<ConfigurationChange>>
ConfigurationStore::changesAfter(ConfigurationVersion version) const
{
    const qint64 missingChanges = m_state.version.value() - version.value();
    if (missingChanges <= 0)
        return QList<ConfigurationChange>();
    if (missingChanges > m_history.size())
        return std::nullopt;
    return m_history.mid(m_history.size() - missingChanges);
}

QList<ConfigurationChange> ConfigurationStore::takeContiguousChanges(ConfigurationVersion version)
{
    QList<ConfigurationChange> taken;
    while (!m_pending.isEmpty() && m_pending.firstKey() <= version.value())
        m_pending.erase(m_pending.begin());
    qint64 next = version.value() + 1;
    while (m_pending.contains(next))
        taken.append(m_pending.take(next++));
    return taken;
}

void ConfigurationStore::applyPending()
{
    if (m_applying)
        return;
    std::optional<PendingDocument> fullDocument = std::exchange(m_pendingDocument, std::nullopt);
    if (fullDocument && fullDocument->version <= m_state.version)
        fullDocument.reset();
    const ConfigurationVersion baseVersion = fullDocument ? fullDocument->version : m_state.version;
    const QList<ConfigurationChange> changes = takeContiguousChanges(baseVersion);
    if (!fullDocument && changes.isEmpty())
        return;
    m_applying = true;
    const auto work = [state = m_state, fullDocument, changes] {
        if (!fullDocument)
            return stateAfter(state, changes);
        return stateAfter(stateWithDocument(state, fullDocument->version, fullDocument->document),
                          changes);
    };
    m_workers.run(&m_context, work,
                  [this, changes,
                   isFullDocument = fullDocument.has_value()](const ConfigurationState &state) {
                      m_applying = false;
                      if (isFullDocument)
                          m_history.clear();
                      putInForce(state, changes);
                      applyPending();
                  });
}

void ConfigurationStore::putEmptyInForce()
{
    m_state.configuration = std::make_shared<const Configuration>();
    for (const InForceCallback &subscriber : m_subscribers)
        subscriber(m_state.configuration);
}

void ConfigurationStore::putInForce(const ConfigurationState &state,
                                    const QList<ConfigurationChange> &changes)
{
    m_state = state;
    m_history.append(changes);
    if (m_history.size() > MaxHistoryChanges)
        m_history.remove(0, m_history.size() - MaxHistoryChanges);
    const QString version = QString::number(state.version.value());
    if (state.fault.isEmpty()) {
        logEvent(LogLevel::Info, EventId::ConfigurationInForce, {{"version", version}});
        for (const InForceCallback &subscriber : m_subscribers)
            subscriber(m_state.configuration);
    } else {
        logEvent(LogLevel::Error, EventId::ConfigurationRejected,
                 {{"version", version}, {"reason", state.fault}});
    }
    callWaiters();
}

void ConfigurationStore::callAtVersion(ConfigurationVersion version, std::function<void()> callback)
{
    m_waiters.push_back({version, std::move(callback)});
    callWaiters();
}

void ConfigurationStore::callWaiters()
{
    std::vector<Waiter> waiters = std::exchange(m_waiters, {});
    for (Waiter &waiter : waiters) {
        if (waiter.version <= m_state.version)
            waiter.callback();
        else
            m_waiters.push_back(std::move(waiter));
    }
}

} // namespace cranberry
