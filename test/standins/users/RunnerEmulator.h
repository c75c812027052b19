// Defines RunnerEmulator, a stand-in of one of the users' runners inside a test.
#pragma once

#include "base/QtTimerService.h"
#include "http/HttpListener.h"
#include "http/HttpRequest.h"

#include <QSet>

#include <functional>
#include <memory>
#include <optional>

namespace cranberry::standin {

/// Answers plain requests at once and generations event by event, lets generations move to
/// another runner, and fails as a test tells it.
/// Thread safety: only from the thread of its event loop.
class RunnerEmulator
{
public:
    using Reply = std::shared_ptr<CallerReply>;
    /// Returns true if it answered the request or means not to.
    using Override = std::function<bool(const HttpRequest &request, const Reply &reply)>;

    explicit RunnerEmulator(QByteArray id);
    ~RunnerEmulator();

    const QByteArray &id() const { return m_id; }
    HttpEndpoint endpoint() const { return m_endpoint; }
    QByteArray address() const;
    /// The address that its entry names if it differs from endpoint(), as behind a proxy.
    void setAnnounced(const HttpEndpoint &endpoint) { m_announced = endpoint; }
    /// Its entry in the store.
    QByteArray entry(const QByteArray &service, const QByteArray &state = "ready") const;

    /// The data centre that its entry names.
    void setDataCentre(const QString &name) { m_dataCentre = name; }
    /// The number of slots that its entry names.
    void setSlots(int slotCount) { m_slots = slotCount; }
    /// Events of a generation and the time between two.
    void setGeneration(int events, Milliseconds interval);
    /// Generations for which it grants room at a time, running ones included.
    void setRoom(int generations) { m_room = generations; }
    void setOverride(Override override) { m_override = std::move(override); }
    /// The override answers reports too.
    void setOverridesReports(bool overrides) { m_overridesReports = overrides; }
    /// Another target takes its address.
    void setId(const QByteArray &id) { m_id = id; }
    /// @p callback is told of each request that it begins to run.
    void onRan(std::function<void(const HttpRequest &)> callback) { m_onRan = std::move(callback); }

    /// Requests that it began to run, in the order in which they came.
    const QList<HttpRequest> &ran() const { return m_ran; }
    /// Generations that are under way.
    int generating() const { return int(m_runs.size()); }
    /// The most of them at a time so far.
    int mostGenerating() const { return m_mostGenerating; }
    /// Room that is kept free for requests that have not come.
    int reserved() const { return int(m_reservations.size()); }
    /// The rate limit that its answers name from now on; none if @p perSecond is empty.
    void setRateLimit(const QByteArray &perSecond) { m_rateLimit = perSecond; }
    /// Each answer number @p answers to a plain request closes its connection; none if zero.
    void setAnswersPerConnection(int answers) { m_answersPerConnection = answers; }
    /// Answers to the final orders of moves are lost from now on, or arrive again.
    void setLosesMoveAnswers(bool loses) { m_losesMoveAnswers = loses; }
    /// Breaks all its connections off, as a crash does.
    void crash();
    /// Goes on with a generation whose connection was closed.
    void setWorksOnAfterClose(bool worksOn) { m_worksOnAfterClose = worksOn; }
    /// Breaks the connections of its generations off and lives on.
    void breakStreams();
    /// Sends no events until further notice, but makes them and answers calls.
    void setSilent(bool isSilent) { m_isSilent = isSilent; }
    /// Whether @p request continues a generation from a copy.
    static bool isContinuation(const HttpRequest &request);
    /// @p callback is told of each event that it makes.
    void onWorked(std::function<void(const HttpRequest &, int event)> callback)
    {
        m_onWorked = std::move(callback);
    }
    /// The time of its start, which its entry and its reports name; none if it is not set.
    void setBorn(qint64 born) { m_born = born; }
    /// Starts again under its id at @p born and knows nothing; connections of before stay open and
    /// silent, as behind a cut.
    void startAgain(qint64 born);

    /// The head of an answer to @p request as a runner writes it.
    HttpHeaders answerHeaders(const HttpRequest &request) const;
    static QByteArray event(int number);

private:
    struct Run {
        HttpRequest request;
        Reply reply;
        int made = 0;
        int sent = 0;
        bool isConnected = true;
        std::unique_ptr<TimerSubscription> timer;
    };

    void handle(const HttpRequest &request, const Reply &reply);
    void answer(const HttpRequest &request, const Reply &reply);
    void generate(const HttpRequest &request, const Reply &reply);
    void step(const QByteArray &id);
    void connectionClosed(const QByteArray &id);
    void move(const HttpRequest &request, const Reply &reply);
    void reserve(const Reply &reply);
    bool takeReservation(const HttpRequest &request);

    QByteArray m_id;
    QString m_dataCentre = QStringLiteral("hall");
    std::optional<qint64> m_born;
    QtTimerService m_timers;
    HttpEndpoint m_endpoint;
    std::optional<HttpEndpoint> m_announced;
    int m_slots = 8;
    int m_events = 3;
    Milliseconds m_interval{5};
    int m_room = 1000;
    QByteArray m_rateLimit;
    int m_answersPerConnection = 0;
    bool m_losesMoveAnswers = false;
    bool m_worksOnAfterClose = false;
    bool m_isSilent = false;
    int m_granted = 0;
    int m_mostGenerating = 0;
    QSet<QByteArray> m_reservations;
    Override m_override;
    bool m_overridesReports = false;
    std::function<void(const HttpRequest &)> m_onRan;
    std::function<void(const HttpRequest &, int)> m_onWorked;
    QList<HttpRequest> m_ran;
    QHash<QByteArray, std::shared_ptr<Run>> m_runs;
    /// Of the start before.
    QList<std::shared_ptr<Run>> m_silent;
    HttpListener m_listener;
};

} // namespace cranberry::standin
