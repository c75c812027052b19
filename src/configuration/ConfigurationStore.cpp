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

/// Changes kept for peers that are behind; further back they take the whole document.
constexpr qsizetype HistoryLength = 4 * SnapshotInterval;
/// A change must fit into one value of the platform, which holds 1 MB, with its frame.
constexpr qsizetype LargestChange = 900 * 1024;

} // namespace

ConfigurationStore::ConfigurationStore(KeyValueStore &platform, WorkerPool &workers,
                                       TimerService &timers)
    : m_platform(platform)
    , m_workers(workers)
    , m_timers(timers)
    , m_reader(std::make_unique<LogReader>(platform))
    , m_snapshots(std::make_unique<SnapshotWriter>(platform))
{
}

ConfigurationStore::~ConfigurationStore() = default;

void ConfigurationStore::load(LoadCallback done)
{
    m_nextLoad.push_back(std::move(done));
    if (!m_loading)
        startLoad();
}

void ConfigurationStore::startLoad()
{
    m_loading = true;
    m_presentLoad = std::exchange(m_nextLoad, {});
    m_reader->read(m_state.version, [this](const Result<LogContents> &contents) {
        if (!contents.has_value()) {
            finishLoad(contents.error());
            return;
        }
        const LogContents &log = contents.value();
        if (log.snapshot)
            applyDocument(log.page.base->snapshot, *log.snapshot);
        applyPage(log.page);
        if (log.reached == ConfigurationVersion() && !m_state.configuration)
            putFirstInForce();
        whenAt(log.reached, [this] { finishLoad(m_state.version); });
    });
}

void ConfigurationStore::finishLoad(const Result<ConfigurationVersion> &result)
{
    m_loading = false;
    const std::vector<LoadCallback> finished = std::exchange(m_presentLoad, {});
    for (const LoadCallback &done : finished) {
        if (done)
            done(result);
    }
    if (!m_nextLoad.empty() && !m_loading)
        startLoad();
}

void ConfigurationStore::submit(ConfigurationVersion expected, const QJsonObject &document,
                                SubmitCallback callback)
{
    if (m_state.version < expected) {
        // The operator saw a version that has not come here yet.
        load([this, expected, document,
              callback = std::move(callback)](const Result<ConfigurationVersion> &loaded) {
            if (loaded.has_value() && expected <= m_state.version)
                submitAtPresent(expected, document, callback);
            else if (loaded.has_value())
                callback({SubmitOutcome::VersionConflict, m_state.version, {}, {}});
            else
                callback({SubmitOutcome::PlatformUnavailable, m_state.version, {}, {}});
        });
        return;
    }
    submitAtPresent(expected, document, std::move(callback));
}

void ConfigurationStore::submitAtPresent(ConfigurationVersion expected, const QJsonObject &document,
                                         SubmitCallback callback)
{
    const ConfigurationVersion next(expected.value() + 1);
    const ChangeId id(QUuid::createUuid().toString(QUuid::WithoutBraces));
    const bool isPresent = expected == m_state.version;
    const auto prepare = [before = m_state.document, document, next, id]() -> PreparedChange {
        PreparedChange prepared{validateDocument(document), {next, id, {}}};
        if (prepared.faults.isEmpty())
            prepared.change.patch = mergePatchBetween(before, document);
        const qsizetype size = encodeChange(prepared.change).size();
        if (size > LargestChange) {
            prepared.faults.append({QStringLiteral("(document)"),
                                    QStringLiteral("expected a change of at most %1 bytes, got %2; "
                                                   "submit it in several steps")
                                        .arg(LargestChange)
                                        .arg(size)});
        }
        return prepared;
    };
    m_workers.run(&m_context, prepare,
                  [this, isPresent, callback = std::move(callback)](const PreparedChange &change) {
                      if (!change.faults.isEmpty())
                          callback({SubmitOutcome::Invalid, m_state.version, change.faults, {}});
                      else if (isPresent)
                          send(change.change, callback);
                      else
                          callback({SubmitOutcome::VersionConflict, m_state.version, {}, {}});
                  });
}

void ConfigurationStore::send(const ConfigurationChange &change, const SubmitCallback &callback)
{
    const quint64 number = ++m_lastSubmission;
    auto submission = std::make_unique<ChangeSubmission>(
        m_platform, m_timers, change,
        [this, number, change, callback](SubmissionEnd end, const LogBase &base) {
            const auto finished = m_submissions.extract(number);
            submitted(end, change, base, callback);
        });
    ChangeSubmission &started = *submission;
    m_submissions.emplace(number, std::move(submission));
    started.start();
}

void ConfigurationStore::submitted(SubmissionEnd end, const ConfigurationChange &change,
                                   const LogBase &base, const SubmitCallback &callback)
{
    const QString version = QString::number(change.version.value());
    switch (end) {
    case SubmissionEnd::Accepted:
        logEvent(LogLevel::Info, EventId::ConfigurationAccepted,
                 {{"version", version}, {"change", change.id.text()}});
        applyChanges({change});
        whenAt(change.version, [this, change, base, callback] {
            callback({SubmitOutcome::Accepted, change.version, {}, change.id});
            writeSnapshotIfDue(base);
        });
        return;
    case SubmissionEnd::Lost:
        logEvent(LogLevel::Info, EventId::ConfigurationRejected,
                 {{"version", version}, {"change", change.id.text()}, {"reason", "conflict"}});
        load([this, change, callback](const Result<ConfigurationVersion> &) {
            callback({SubmitOutcome::VersionConflict, m_state.version, {}, change.id});
        });
        return;
    case SubmissionEnd::NotDone:
        callback({SubmitOutcome::PlatformUnavailable, m_state.version, {}, change.id});
        return;
    case SubmissionEnd::Unsettled:
        logEvent(LogLevel::Warning, EventId::ConfigurationRejected,
                 {{"version", version}, {"change", change.id.text()}, {"reason", "unsettled"}});
        callback({SubmitOutcome::Unsettled, m_state.version, {}, change.id});
        return;
    }
}

void ConfigurationStore::writeSnapshotIfDue(const LogBase &base)
{
    const bool isDue = m_state.version.value() - base.snapshot.value() >= SnapshotInterval;
    if (!isDue || m_snapshots->isBusy())
        return;
    const auto write = [document = m_state.document] {
        return QJsonDocument(document).toJson(QJsonDocument::Compact);
    };
    m_workers.run(&m_context, write,
                  [this, version = m_state.version, base](const QByteArray &document) {
                      if (!m_snapshots->isBusy())
                          m_snapshots->write(version, document, base);
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
    if (page.base && m_trimmed < page.base->trimmed)
        m_trimmed = page.base->trimmed;
    // A key that was created anew after its trimming leads to no version: see LogBase.
    QList<ConfigurationChange> valid = page.changes;
    valid.removeIf(
        [this](const ConfigurationChange &change) { return change.version <= m_trimmed; });
    applyChanges(valid);
    if (m_state.version < m_trimmed && !m_loading)
        load();
}

std::optional<QList<ConfigurationChange>>
ConfigurationStore::changesAfter(ConfigurationVersion version) const
{
    const qint64 missing = m_state.version.value() - version.value();
    if (missing <= 0)
        return QList<ConfigurationChange>();
    if (missing > m_history.size())
        return std::nullopt;
    return m_history.mid(m_history.size() - missing);
}

QList<ConfigurationChange> ConfigurationStore::takeContiguous(ConfigurationVersion version)
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
    std::optional<PendingDocument> whole = std::exchange(m_pendingDocument, std::nullopt);
    if (whole && whole->version <= m_state.version)
        whole.reset();
    const ConfigurationVersion from = whole ? whole->version : m_state.version;
    const QList<ConfigurationChange> changes = takeContiguous(from);
    if (!whole && changes.isEmpty())
        return;
    m_applying = true;
    const auto work = [state = m_state, whole, changes] {
        if (!whole)
            return stateAfter(state, changes);
        return stateAfter(stateWithDocument(state, whole->version, whole->document), changes);
    };
    m_workers.run(&m_context, work,
                  [this, changes, whole = whole.has_value()](const ConfigurationState &state) {
                      m_applying = false;
                      if (whole)
                          m_history.clear();
                      putInForce(state, changes);
                      applyPending();
                  });
}

void ConfigurationStore::putFirstInForce()
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
    if (m_history.size() > HistoryLength)
        m_history.remove(0, m_history.size() - HistoryLength);
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

void ConfigurationStore::whenAt(ConfigurationVersion version, std::function<void()> call)
{
    m_waiters.push_back({version, std::move(call)});
    callWaiters();
}

void ConfigurationStore::callWaiters()
{
    std::vector<Waiter> waiting = std::exchange(m_waiters, {});
    for (Waiter &waiter : waiting) {
        if (waiter.version <= m_state.version)
            waiter.call();
        else
            m_waiters.push_back(std::move(waiter));
    }
}

} // namespace cranberry
