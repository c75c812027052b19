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
enum class CommitOutcome;

/// Holds the configuration in force in one daemon and submits changes to it. Changes are committed
/// in the platform's key-value service: a change is accepted if and only if its key was created
/// there. The version of a daemon never decreases.
/// Thread safety: only from its own thread; callbacks run in that thread, never from within the
/// call that registers them.
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

    /// The configuration in force; null until one has been loaded or received from a peer. It is
    /// the empty configuration of version 0 if no change has ever been accepted.
    std::shared_ptr<const Configuration> current() const { return m_state.configuration; }
    /// The highest version known to this daemon.
    ConfigurationVersion version() const { return m_state.version; }
    /// The document of version().
    const QJsonObject &document() const { return m_state.document; }
    /// Error that keeps this build from putting the document in force; empty if there is none.
    const QString &fault() const { return m_state.fault; }

    /// Updates this daemon to the latest version in the platform's service. @p done may be empty;
    /// it is called once that version is in force. Error PlatformUnavailable: nothing has changed.
    void load(LoadCallback done = {});

    /// Submits @p document as the successor of version @p expected. The outcome for a valid
    /// document is VersionConflict if @p expected is not the current version.
    void submit(ConfigurationVersion expected, const QJsonObject &document,
                SubmitCallback callback);

    /// Registers @p callback to be called with each version that is put in force. Versions that
    /// are applied together may be reported as one call with the last of them.
    void onInForce(InForceCallback callback);

    /// Applies accepted changes received from a peer or a watch. Old and duplicate changes are
    /// ignored; a change after a gap is kept until the missing versions have arrived.
    void applyChanges(const QList<ConfigurationChange> &changes);

    /// Applies the full document of an accepted version; ignored if it is not newer.
    void applyDocument(ConfigurationVersion version, const QJsonObject &document);

    /// Applies the result of a listing or a watch of ChangePrefix. Starts a load if changes that
    /// this daemon lacks may have been trimmed.
    void applyPage(const LogPage &page);

    /// The accepted changes after @p version; nullopt if the history does not reach back to it.
    std::optional<QList<ConfigurationChange>> changesAfter(ConfigurationVersion version) const;

private:
    struct PendingDocument {
        ConfigurationVersion version;
        QJsonObject document;
    };
    struct Waiter {
        ConfigurationVersion version;
        std::function<void()> callback;
    };
    struct PreparedChange {
        QList<ConfigurationFault> faults;
        ConfigurationChange change;
    };

    void startLoad();
    void finishLoad(const Result<ConfigurationVersion> &result);
    void validateAndSubmit(ConfigurationVersion expected, const QJsonObject &document,
                           SubmitCallback callback);
    void startSubmission(const ConfigurationChange &change, const SubmitCallback &callback);
    void finishSubmission(CommitOutcome outcome, const ConfigurationChange &change,
                          const LogBase &base, const SubmitCallback &callback);
    void writeSnapshotIfDue(const LogBase &base);

    void putEmptyInForce();
    void applyPending();
    QList<ConfigurationChange> takeContiguousChanges(ConfigurationVersion version);
    void putInForce(const ConfigurationState &state, const QList<ConfigurationChange> &changes);
    void callAtVersion(ConfigurationVersion version, std::function<void()> callback);
    void callWaiters();

    KeyValueStore &m_platform;
    WorkerPool &m_workers;
    TimerService &m_timers;
    ConfigurationState m_state;
    /// Keys of changes up to this version are ignored in results from the platform: see LogBase.
    ConfigurationVersion m_trimmedVersion;
    /// The latest accepted changes up to the current version, oldest first; bounded.
    QList<ConfigurationChange> m_history;
    /// Accepted changes that have not been applied yet, by version.
    QMap<qint64, ConfigurationChange> m_pending;
    std::optional<PendingDocument> m_pendingDocument;
    bool m_applying = false;
    std::vector<InForceCallback> m_subscribers;
    std::vector<Waiter> m_waiters;
    bool m_loading = false;
    std::vector<LoadCallback> m_runningLoadCallbacks;
    /// Callbacks of loads requested while another load runs. The running load may have read the
    /// log before the request, so these wait for the next one.
    std::vector<LoadCallback> m_nextLoadCallbacks;
    std::unique_ptr<LogReader> m_logReader;
    std::unique_ptr<SnapshotWriter> m_snapshotWriter;
    std::map<quint64, std::unique_ptr<ChangeSubmission>> m_submissions;
    quint64 m_lastSubmissionId = 0;
    /// Receiver of the worker pool's results; its destruction discards outstanding results.
    QObject m_context;
};

} // namespace cranberry
