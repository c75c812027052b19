// Defines TargetServer, the stand-in of a model engine or a plain service.
#pragma once

#include "base/TimerService.h"
#include "http/HttpRequest.h"
#include "http/HttpServer.h"
#include "standins/target/AnswerText.h"
#include "standins/target/CacheEventLog.h"
#include "standins/target/LoadReports.h"
#include "standins/target/TargetFaults.h"
#include "standins/target/TargetSettings.h"

#include <QJsonArray>

#include <list>

namespace cranberry::test {

/// Speaks the target protocol around the engine model.
/// Thread safety: only from the thread of the timer service.
class TargetServer
{
public:
    /// Precondition: @p timers outlives the server.
    TargetServer(TimerService &timers, const TargetSettings &settings);
    ~TargetServer();

    /// Starts to listen on the local host; returns the port.
    Result<quint16> listen(quint16 port);

private:
    using Responder = std::shared_ptr<HttpResponder>;

    /// One connection on which a generation is sent.
    struct Reader {
        QByteArray attempt;
        Responder responder;
        int next = 0;
        int sent = 0;
        bool stream = true;
        bool resumed = false;
        /// Its link has stalled from the start.
        bool silent = false;
    };

    void handle(const HttpRequest &request, const Responder &responder);
    bool handleCommon(const HttpRequest &request, const Responder &responder);
    void handleCompletion(const HttpRequest &request, const Responder &responder);
    void handleResume(const HttpRequest &request, const Responder &responder);
    void handleCancel(const QByteArray &attempt, const Responder &responder);
    void handleOrder(const HttpRequest &request, const Responder &responder);
    void handlePlain(const HttpRequest &request, const Responder &responder);
    void answerLoad(const Responder &responder);
    void answerCacheEvents(const HttpRequest &request, const Responder &responder);
    bool resetsNext(const Responder &responder);

    void recordRun(const QByteArray &attempt, const Answer &answer);
    void scheduleStep();
    void finishStep();
    void beginStep();
    void addReader(Reader reader);
    void pump();
    /// False once the reader has nothing more to get.
    bool pump(Reader &reader);
    QByteArray eventOf(const QByteArray &attempt, const Answer &answer, int index) const;
    void sampleLoad();
    void forgetOld();

    TimerService &m_timers;
    const TargetSettings m_settings;
    TargetFaults m_faults;
    /// Requests that the fault "refuse" turned away.
    int m_refused = 0;
    /// Kept so that their connections stay open.
    QList<Responder> m_swallowed;
    HttpServer m_server;
    Engine m_engine;
    QHash<QByteArray, Answer> m_answers;
    /// Tokens that callers may see: the engine's own count runs ahead by the step under way.
    QHash<QByteArray, int> m_visible;
    std::list<Reader> m_readers;
    EngineStep m_step;
    bool m_stepping = false;
    MonotonicTime m_stepEnd;
    std::unique_ptr<TimerSubscription> m_stepTimer;
    std::unique_ptr<TimerSubscription> m_sampleTimer;
    LoadReports m_reports;
    CacheEventLog m_cacheEvents;
    QJsonArray m_runs;
    qint64 m_incarnation;
    qint64 m_fencing = 0;
    QJsonArray m_orders;
    std::list<std::unique_ptr<TimerSubscription>> m_plainCalls;
};

} // namespace cranberry::test
