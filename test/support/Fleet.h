// Defines Fleet, a platform, targets and daemons as processes of their own.
#pragma once

#include "http/HttpEndpoint.h"
#include "support/FleetClient.h"
#include "support/FleetPlan.h"
#include "support/FleetProcess.h"

#include <QTemporaryDir>

#include <memory>
#include <vector>

namespace cranberry::test {

/// Starts processes on the local host with free ports and ends them all when destroyed.
/// Thread safety: only from one thread, whose event loop it runs while it waits.
class Fleet
{
public:
    explicit Fleet(const FleetPlan &plan);
    ~Fleet();
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    /// Starts everything, gives the platform the list of VMs and puts document() in force.
    /// False if a process is not ready or a daemon does not take the document; what failed is
    /// printed.
    bool start();

    FleetClient &client() { return m_client; }
    FleetProcess &platform() { return *m_platform; }
    FleetProcess &engine(int index) { return *m_engines.at(index); }
    FleetProcess &plain(int index) { return *m_plains.at(index); }
    FleetProcess &daemon(int index) { return *m_daemons.at(index); }
    int daemonCount() const { return int(m_daemons.size()); }
    int engineCount() const { return int(m_engines.size()); }

    HttpEndpoint platformEndpoint() const;
    HttpEndpoint engineEndpoint(int index) const;
    HttpEndpoint plainEndpoint(int index) const;
    HttpEndpoint gateway(int index) const;

    /// Starts one more daemon with the same plan and waits until it is ready; returns its
    /// index, or -1. Call publishVms() to put it on the list of VMs.
    int addDaemon();
    /// Starts daemon @p index, which has ended, anew as the same VM on free ports.
    bool restartDaemon(int index);
    /// Starts engine @p index, which has ended, anew on the port it had.
    bool restartEngine(int index);
    bool restartPlain(int index);
    /// Starts the platform, which has ended, anew and empty on the port it had.
    bool restartPlatform();

    /// Puts the running daemons on the platform's list of VMs; those in @p leaving, by index,
    /// as leaving.
    bool publishVms(const QList<int> &leaving = {});

    /// The document of the plan: services "drafts" and "status", model "m1".
    QJsonObject document() const;
    /// Headers of a caller of workspace "w<index>".
    HttpHeaders caller(int workspace = 0) const;
    HttpHeaders operatorHeaders() const;

    /// PUT of @p document through daemon @p index with If-Match: @p version.
    FleetAnswer putDocument(int index, const QJsonObject &document, qint64 version);
    /// Puts @p document in as the next version and waits until every running daemon reports
    /// it. Returns the version, or -1.
    qint64 apply(const QJsonObject &document);
    /// Waits until every running daemon reports a version of at least @p version.
    bool waitForVersion(qint64 version);
    /// Waits until every daemon lists all others; before that they cannot tell each other news.
    bool waitUntilDaemonsMet();
    /// Engines whose process has ended.
    int deadEngines();
    /// The version that daemon @p index has in force by its ETag, or -1.
    qint64 versionOf(int index);
    /// GET /v1/status of daemon @p index.
    QJsonObject status(int index);
    /// Members that daemon @p index sees alive, itself included.
    int aliveMembers(int index);

    /// POST /faults; false if it is not taken.
    bool setFaults(const HttpEndpoint &endpoint, const QJsonObject &faults);
    /// GET /runs of engine or plain service.
    QJsonObject runs(const HttpEndpoint &endpoint);
    /// Runs of all engines with prompt @p prompt.
    int runsOf(const QString &prompt);

    /// Starts a streamed completion through daemon @p index.
    std::unique_ptr<FleetStream> complete(int index, const QString &prompt, int maxTokens,
                                          const HttpHeaders &headers);

    /// The standard error of daemon @p index: its log.
    QByteArray log(int index) const { return m_daemons.at(index)->errorOutput(); }
    /// Folder for files of the test; it goes with the fleet.
    QString folder() const { return m_folder.path(); }

private:
    using Processes = std::vector<std::unique_ptr<FleetProcess>>;

    std::unique_ptr<FleetProcess> startTarget(const QString &name, quint16 port,
                                              const QStringList &flags);
    std::unique_ptr<FleetProcess> startPlatform(quint16 port);
    std::unique_ptr<FleetProcess> startDaemon(int index);
    bool writeFile(const QString &name, const QByteArray &content) const;
    QString pathOf(const QString &name) const { return m_folder.filePath(name); }
    QString outputName(const QString &name);
    QString dataCentre(int index) const;
    QJsonObject targetsOfDocument() const;

    FleetPlan m_plan;
    QTemporaryDir m_folder;
    FleetClient m_client;
    std::unique_ptr<FleetProcess> m_platform;
    Processes m_engines;
    Processes m_plains;
    Processes m_daemons;
    int m_starts = 0;
};

} // namespace cranberry::test
