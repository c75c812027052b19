// Defines ConfigurationStore, the configuration in force in one daemon and the way to change it.
#pragma once

#include "base/Result.h"
#include "configuration/ConfigurationLog.h"
#include "configuration/ConfigurationState.h"
#include "configuration/SubmitResult.h"

#include <QMap>
#include <QObject>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace cranberry {

class ChangeSubmission;
class KeyValueStore;
class LogReader;
class SnapshotWriter;
class TimerService;
class WorkerPool;
enum class SubmissionEnd;

/// Accepts changes through the platform's service and puts versions in force. The only commit
/// point of a change is the creation of its key there; the version of a daemon only grows.
/// Thread safety: only from its own thread; callbacks run in it, never inside the call that
/// they were given to.
class ConfigurationStore
{
public:
    using SubmitCallback = std::function<void(const SubmitResult &)>;
    using InForceCallback = std::function<void(const std::shared_ptr<const Configuration> &)>;
    using LoadCallback = std::function<void(Result<ConfigurationVersion>)>;

    /// Precondition: the arguments outlive the store.
    ConfigurationStore(KeyValueStore &platform, WorkerPool &workers, TimerService &timers);
    ~ConfigurationStore();
    ConfigurationStore(const ConfigurationStore &) = delete;
    ConfigurationStore &operator=(const ConfigurationStore &) = delete;

    /// The configuration in force; null until the first load, or a peer, gave one. Before the
    /// first change was ever accepted it is the empty one of version 0.
    std::shared_ptr<const Configuration> current() const { return m_state.configuration; }
    /// The highest version known to this daemon.
    ConfigurationVersion version() const { return m_state.version; }
    /// The document of version().
    const QJsonObject &document() const { return m_state.document; }
    /// Why this build cannot put the document in force; empty if it can.
    const QString &fault() const { return m_state.fault; }

    /// Brings this daemon up to the platform's version; @p done may be empty and is called
    /// when that is in force. Error PlatformUnavailable: nothing has changed.
    void load(LoadCallback done = {});

    /// Makes @p document the version after @p expected, if that is the present one.
    void submit(ConfigurationVersion expected, const QJsonObject &document,
                SubmitCallback callback);

    /// Calls @p callback with each version put in force from now on; several versions learnt
    /// together may be told as one.
    void onInForce(InForceCallback callback);

    /// Takes over accepted changes that a peer or a watch told; old and repeated ones are
    /// passed over, one that leaves a gap waits for it to be filled.
    void applyChanges(const QList<ConfigurationChange> &changes);

    /// Takes over a whole accepted version; passed over if it is not newer.
    void applyDocument(ConfigurationVersion version, const QJsonObject &document);

    /// Takes over what a watch of ChangePrefix showed.
    void applyPage(const LogPage &page);

    /// The accepted changes after @p version; nothing if they reach back too far.
    std::optional<QList<ConfigurationChange>> changesAfter(ConfigurationVersion version) const;

private:
    struct PendingDocument {
        ConfigurationVersion version;
        QJsonObject document;
    };
    struct Waiter {
        ConfigurationVersion version;
        std::function<void()> call;
    };
    struct PreparedChange {
        QList<ConfigurationFault> faults;
        ConfigurationChange change;
    };

    void startLoad();
    void finishLoad(const Result<ConfigurationVersion> &result);
    void submitAtPresent(ConfigurationVersion expected, const QJsonObject &document,
                         SubmitCallback callback);
    void send(const ConfigurationChange &change, const SubmitCallback &callback);
    void submitted(SubmissionEnd end, const ConfigurationChange &change, const LogBase &base,
                   const SubmitCallback &callback);
    void writeSnapshotIfDue(const LogBase &base);

    void putFirstInForce();
    void applyPending();
    QList<ConfigurationChange> takeContiguous(ConfigurationVersion version);
    void putInForce(const ConfigurationState &state, const QList<ConfigurationChange> &changes);
    void whenAt(ConfigurationVersion version, std::function<void()> call);
    void callWaiters();

    KeyValueStore &m_platform;
    WorkerPool &m_workers;
    TimerService &m_timers;
    ConfigurationState m_state;
    /// Changes up to this version do not count if the platform shows them: see LogBase.
    ConfigurationVersion m_trimmed;
    /// Accepted changes up to the present version, oldest first, a bounded number.
    QList<ConfigurationChange> m_history;
    /// Accepted changes that are not applied yet, by version.
    QMap<qint64, ConfigurationChange> m_pending;
    std::optional<PendingDocument> m_pendingDocument;
    bool m_applying = false;
    std::vector<InForceCallback> m_subscribers;
    std::vector<Waiter> m_waiters;
    bool m_loading = false;
    std::vector<LoadCallback> m_presentLoad;
    /// Called for after the present load had begun, so that it may show too little for them.
    std::vector<LoadCallback> m_nextLoad;
    std::unique_ptr<LogReader> m_reader;
    std::unique_ptr<SnapshotWriter> m_snapshots;
    std::map<quint64, std::unique_ptr<ChangeSubmission>> m_submissions;
    quint64 m_lastSubmission = 0;
    /// Receiver of what the worker pool hands back; its end drops that.
    QObject m_context;
};

} // namespace cranberry
