// Defines PlatformSite, daemons on the users' platform with stand-ins of its store and runners.
#pragma once

#include "base/QtTimerService.h"
#include "http/HttpClient.h"
#include "http/HttpResponse.h"
#include "standins/users/RunnerEmulator.h"
#include "standins/users/StoreEmulator.h"

#include <QJsonArray>
#include <QJsonObject>
#include <QProcess>
#include <QTemporaryFile>

#include <memory>
#include <vector>

namespace cranberry::test {

/// One request of a client and what came of it.
struct ClientCall {
    HttpExchangeEnd end = HttpExchangeEnd::NotConnected;
    bool isOver = false;
    HttpResponse response;
    std::unique_ptr<HttpExchange> exchange;
};

/// Runs cranberryd-platform as processes of their own, on free ports of 127.0.0.1.
/// Thread safety: only from its own thread.
class PlatformSite
{
public:
    PlatformSite();
    ~PlatformSite();

    standin::StoreEmulator &store() { return m_store; }

    /// Adds a runner of "model" (generations) or "plain" and its entry.
    standin::RunnerEmulator &addRunner(const QByteArray &id, const QByteArray &service,
                                       const QString &dataCentre = QStringLiteral("hall"));
    void announce(const standin::RunnerEmulator &runner, const QByteArray &service,
                  const QByteArray &state);
    /// Writes a configuration with the routes /model/, /safe/ and /unsafe/ and the key "key".
    /// @p extraRoute: also /extra/, to the plain service.
    void configure(int version, bool extraRoute = false);
    /// Targets of "plain" that have just started take @p perSecond requests a second, in
    /// configurations that are written from now on.
    void setColdRate(double perSecond) { m_coldPerSecond = perSecond; }
    /// Adds the service "fragile" and the routes /fragile-safe/ and /fragile-unsafe/ to
    /// configurations that are written from now on.
    void setFragileService() { m_hasFragileService = true; }
    /// As above, with the service "busy", its routes /urgent/ (priority 0) and /usual/ (2), and the
    /// workspaces "large" and "small0" to "small2" with the keys "key-large" and so on.
    void setBusyService() { m_hasBusyService = true; }
    /// As above, with a second service of generations, "steady", and its route /steady/.
    void setSteadyService() { m_hasSteadyService = true; }
    /// Time limit and objective of the routes to "plain" in configurations that are written from
    /// now on.
    void setPlainTimes(Milliseconds timeout, Milliseconds objective)
    {
        m_plainTimeout = timeout;
        m_plainObjective = objective;
    }
    /// Grace time in the settings of daemons that are started from now on.
    void setGrace(Milliseconds grace) { m_grace = grace; }
    /// Largest header and body in configurations that are written from now on, in bytes.
    void setCallerLimits(int maxHeaderBytes, int maxBodyBytes)
    {
        m_maxHeaderBytes = maxHeaderBytes;
        m_maxBodyBytes = maxBodyBytes;
    }
    /// Descriptors that daemons that are started from now on may open.
    void setDescriptorLimit(int descriptors) { m_descriptorLimit = descriptors; }
    /// A further member of the settings of daemons that are started from now on.
    void setSetting(const QString &name, const QJsonValue &value)
    {
        m_moreSettings.insert(name, value);
    }
    /// The operator evacuates a data centre, or takes that back.
    void evacuate(const QString &dataCentre, bool isEvacuated);
    /// Daemons that are started from now on start with the whole system for the first time:
    /// startDaemon() waits until they have their share of the retry budget.
    void setFirstStart() { m_isFirstStart = true; }
    /// Starts a daemon and waits until it is ready; returns its number.
    /// Throws std::runtime_error if that takes longer than @p limit; the daemon stays.
    int startDaemon(std::chrono::milliseconds limit = std::chrono::seconds(30),
                    standin::StoreEmulator::Door store = standin::StoreEmulator::Door::First,
                    const QString &dataCentre = QStringLiteral("hall"));
    /// As above, with the content @p settings of the settings file.
    int startDaemonWith(const QByteArray &settings,
                        std::chrono::milliseconds limit = std::chrono::seconds(30));
    /// The address of the store in settings files.
    QString
    storeAddress(standin::StoreEmulator::Door door = standin::StoreEmulator::Door::First) const;
    QByteArray settings(int daemon) const { return m_daemons[size_t(daemon)].settings; }
    /// Writes @p settings to the settings file of @p daemon, for its next start too.
    void changeSettings(int daemon, const QByteArray &settings);
    /// Starts a process again in the place of @p daemon, which has ended; does not wait for it to
    /// become ready.
    void restart(int daemon);
    HttpEndpoint callers(int daemon) const { return m_daemons[size_t(daemon)].callers; }
    bool isReady(int daemon);
    QByteArray metrics(int daemon);
    /// Does nothing if the process has ended.
    void signal(int daemon, int number);
    bool hasEnded(int daemon) const;
    /// Whether the process ended by itself with exit code 0.
    bool hasEndedWell(int daemon) const;
    /// The ids of the processes of all daemons.
    QList<qint64> processes() const;
    /// All lines that the daemon wrote so far.
    QByteArray log(int daemon);

    /// Sends a request; wait for it with finish().
    std::shared_ptr<ClientCall> send(int daemon, const QByteArray &method, const QByteArray &path,
                                     const QByteArray &id, const HttpHeaders &more = {});
    /// As send(), to any address.
    std::shared_ptr<ClientCall> sendTo(const HttpEndpoint &endpoint, const QByteArray &method,
                                       const QByteArray &path, const QByteArray &id,
                                       const HttpHeaders &more);
    /// Sends a request and waits for its end.
    std::shared_ptr<ClientCall> call(int daemon, const QByteArray &method, const QByteArray &path,
                                     const QByteArray &id, const HttpHeaders &more = {});
    std::shared_ptr<ClientCall> callWithBody(int daemon, const QByteArray &path,
                                             const QByteArray &id, const QByteArray &body);
    /// As callWithBody(), without waiting.
    std::shared_ptr<ClientCall> sendWithBody(int daemon, const QByteArray &path,
                                             const QByteArray &id, const QByteArray &body,
                                             const HttpHeaders &more = {});
    /// As sendWithBody(), with the key @p key.
    std::shared_ptr<ClientCall> sendWithKey(int daemon, const QByteArray &path,
                                            const QByteArray &id, const QByteArray &body,
                                            const QByteArray &key, const HttpHeaders &more);
    std::shared_ptr<ClientCall> callWithKey(int daemon, const QByteArray &path,
                                            const QByteArray &id, const QByteArray &key);
    static bool finish(const std::shared_ptr<ClientCall> &call);
    /// Headers of a generation.
    static HttpHeaders generation(int promptTokens = 100, int mostOutput = 100);
    /// The header that names the parts of a prompt.
    static HttpHeaders promptParts(const QList<QByteArray> &parts);
    /// The whole stream of a generation of @p events events.
    static QByteArray events(int events);

private:
    struct Daemon {
        std::unique_ptr<QProcess> process;
        HttpEndpoint callers;
        HttpEndpoint readiness;
        QByteArray settings;
        std::unique_ptr<QTemporaryFile> settingsFile;
        QByteArray log;
    };

    static HttpRequest requestOf(const QByteArray &method, const QByteArray &path,
                                 const QByteArray &id, const HttpHeaders &more);
    std::shared_ptr<ClientCall> sendRequest(const HttpEndpoint &endpoint,
                                            const HttpRequest &request);
    void launch(Daemon &daemon);
    void writeSettings(Daemon &daemon);
    HttpResponse askReadiness(int daemon, const QByteArray &path);
    quint16 portOf(Daemon &daemon, const QByteArray &name);

    /// Before all that needs an event loop.
    struct Application {
        Application();
    } m_application;
    standin::StoreEmulator m_store;
    QtTimerService m_timers;
    HttpClient m_client{m_timers};
    std::vector<std::unique_ptr<standin::RunnerEmulator>> m_runners;
    std::vector<Daemon> m_daemons;
    bool m_isFirstStart = false;
    Milliseconds m_plainTimeout{20000};
    Milliseconds m_plainObjective{2000};
    Milliseconds m_grace{8000};
    /// No limit if zero.
    double m_coldPerSecond = 0;
    bool m_hasFragileService = false;
    bool m_hasBusyService = false;
    bool m_hasSteadyService = false;
    int m_maxHeaderBytes = 4096;
    int m_maxBodyBytes = 10000;
    /// That of the test if zero.
    int m_descriptorLimit = 0;
    QJsonObject m_moreSettings;
};

} // namespace cranberry::test
