#include "standins/target/TargetServer.h"

#include "base/TimerSubscription.h"
#include "http/HttpResponder.h"
#include "http/HttpResponse.h"
#include "standins/target/CompletionSubmission.h"

#include <QDateTime>
#include <QJsonDocument>

#include <cmath>
#include <cstdlib>

namespace cranberry::test {

namespace {

constexpr Milliseconds SampleInterval{20};
constexpr Milliseconds KeepFinished{60'000};
constexpr int DieStatus = 9;
constexpr int StatusUnavailable = 503;
constexpr int WrongAttemptInterval = 4;
constexpr QByteArrayView GenerationPath = "/generations/";

QByteArray toBytes(const QJsonObject &object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact);
}

void sendJson(const std::shared_ptr<HttpResponder> &responder, int status,
              const QJsonObject &object)
{
    responder->send(jsonResponse(status, toBytes(object)));
}

void sendRefusal(const std::shared_ptr<HttpResponder> &responder, int status, bool started)
{
    sendJson(responder, status, {{QStringLiteral("started"), started}});
}

void refuseAll(const std::shared_ptr<HttpResponder> &responder, bool leaving)
{
    QJsonObject refusal{{QStringLiteral("started"), false}};
    if (leaving)
        refusal.insert(QStringLiteral("leaving"), true);
    sendJson(responder, StatusUnavailable, refusal);
}

bool isOver(const Generation &generation)
{
    return generation.state == GenerationState::Finished
        || generation.state == GenerationState::Cancelled;
}

} // namespace

TargetServer::TargetServer(TimerService &timers, const TargetSettings &settings)
    : m_timers(timers)
    , m_settings(settings)
    , m_server(timers, HttpServerLimits(),
               [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                   handle(request, responder);
               })
    , m_incarnation(QDateTime::currentMSecsSinceEpoch())
{
    m_engine.settings = settings.engine;
    m_faults.reportLagMs = settings.reportLagMs;
    m_sampleTimer = timers.every(SampleInterval, [this] {
        sampleLoad();
        pump();
    });
    sampleLoad();
}

TargetServer::~TargetServer() = default;

Result<quint16> TargetServer::listen(quint16 port)
{
    return m_server.listenOn(QHostAddress::LocalHost, port);
}

void TargetServer::handle(const HttpRequest &request, const Responder &responder)
{
    if (handleCommon(request, responder))
        return;
    if (m_settings.plain) {
        handlePlain(request, responder);
    } else if (request.method == "POST" && request.path.endsWith("/completions")) {
        handleCompletion(request, responder);
    } else if (request.method == "GET" && request.path.startsWith(GenerationPath)) {
        handleResume(request, responder);
    } else if (request.method == "DELETE" && request.path.startsWith(GenerationPath)) {
        handleCancel(request.path.mid(GenerationPath.size()), responder);
    } else if (request.method == "GET" && request.path == "/cache-events") {
        answerCacheEvents(request, responder);
    } else {
        responder->send(jsonResponse(404, "{}"));
    }
}

bool TargetServer::handleCommon(const HttpRequest &request, const Responder &responder)
{
    if (request.path == "/faults" && request.method == "POST") {
        applyFaults(m_faults, QJsonDocument::fromJson(request.body).object());
        sampleLoad();
        sendJson(responder, 200, toJson(m_faults));
    } else if (request.path == "/runs" && request.method == "GET") {
        sendJson(responder, 200,
                 {{QStringLiteral("runs"), m_runs},
                  {QStringLiteral("refused"), m_refused},
                  {QStringLiteral("preemptions"), m_engine.preemptions},
                  {QStringLiteral("tokens"), m_engine.tokens}});
    } else if (request.path == "/load" && request.method == "GET") {
        answerLoad(responder);
    } else if (request.path == "/orders" && request.method == "POST") {
        handleOrder(request, responder);
    } else if (request.path == "/orders" && request.method == "GET") {
        sendJson(
            responder, 200,
            {{QStringLiteral("fencing_number"), m_fencing}, {QStringLiteral("orders"), m_orders}});
    } else {
        return false;
    }
    return true;
}

bool TargetServer::resetsNext(const Responder &responder)
{
    if (m_faults.resetBeforeAnswer == 0)
        return false;
    --m_faults.resetBeforeAnswer;
    responder->abort();
    return true;
}

void TargetServer::handleCompletion(const HttpRequest &request, const Responder &responder)
{
    if (m_faults.refuse) {
        ++m_refused;
        refuseAll(responder, m_faults.leaving);
        return;
    }
    if (m_faults.swallow > 0) {
        --m_faults.swallow;
        m_swallowed.append(responder);
        return;
    }
    if (m_engine.waiting.size() >= m_settings.queueLimit) {
        sendRefusal(responder, 429, false);
        return;
    }
    const CompletionSubmission submission = readCompletion(request, m_settings.lengths);
    const QByteArray attempt = submission.generation.attempt;
    if (!submit(m_engine, submission.generation)) {
        const auto known = m_engine.generations.constFind(attempt);
        const bool started = known != m_engine.generations.constEnd() && known->started;
        sendRefusal(responder, started ? 409 : 503, started);
        return;
    }
    m_answers.insert(attempt, submission.answer);
    m_visible.insert(attempt, 0);
    if (!resetsNext(responder)) {
        addReader({attempt, responder, 0, 0, submission.stream, false, false});
    }
    scheduleStep();
}

void TargetServer::handleResume(const HttpRequest &request, const Responder &responder)
{
    const QByteArray attempt = request.path.mid(GenerationPath.size());
    if (!m_answers.contains(attempt)) {
        responder->send(jsonResponse(404, "{}"));
        return;
    }
    const int from = request.query.queryItemValue(QStringLiteral("from")).toInt();
    const bool silent = m_faults.stallResumes > 0;
    if (silent)
        --m_faults.stallResumes;
    addReader({attempt, responder, std::max(0, from), 0, true, true, silent});
    pump();
}

void TargetServer::handleCancel(const QByteArray &attempt, const Responder &responder)
{
    const CancelOutcome outcome = cancel(m_engine, attempt);
    const auto answer = m_answers.find(attempt);
    if (answer != m_answers.end() && !outcome.finished)
        answer->finishedAt = m_timers.now();
    sendJson(responder, 200,
             {{QStringLiteral("started"), outcome.started},
              {QStringLiteral("finished"), outcome.finished},
              {QStringLiteral("incarnation"), m_incarnation}});
    pump();
}

void TargetServer::handleOrder(const HttpRequest &request, const Responder &responder)
{
    const qint64 number = request.headers.value("Fencing-Number").toLongLong();
    if (m_settings.checkFencing && number < m_fencing) {
        sendJson(responder, 409, {{QStringLiteral("fencing_number"), m_fencing}});
        return;
    }
    m_fencing = std::max(m_fencing, number);
    m_orders.append(
        QJsonObject{{QStringLiteral("fencing_number"), number},
                    {QStringLiteral("order"), QJsonDocument::fromJson(request.body).object()}});
    sendJson(responder, 200, {{QStringLiteral("fencing_number"), m_fencing}});
}

void TargetServer::handlePlain(const HttpRequest &request, const Responder &responder)
{
    if (m_faults.refuse) {
        ++m_refused;
        refuseAll(responder, m_faults.leaving);
        return;
    }
    Answer answer;
    const QString body = QString::fromUtf8(request.body);
    answer.promptHash = promptHash(body);
    answer.key = request.headers.value("Idempotency-Key");
    answer.workspace = request.headers.value("Cranberry-Workspace");
    const QByteArray attempt = attemptOf(request);
    recordRun(attempt, answer);
    if (!m_faults.dieOn.isEmpty() && body.contains(m_faults.dieOn))
        std::_Exit(DieStatus);
    if (resetsNext(responder))
        return;
    const QJsonObject result{{QStringLiteral("attempt"), QString::fromUtf8(attempt)},
                             {QStringLiteral("prompt_hash"), QString::fromUtf8(answer.promptHash)},
                             {QStringLiteral("method"), QString::fromUtf8(request.method)},
                             {QStringLiteral("path"), QString::fromUtf8(request.path)}};
    const auto place = m_plainCalls.insert(m_plainCalls.end(), nullptr);
    const Milliseconds delay(std::lround(m_settings.plainMs * m_faults.slowFactor));
    *place = m_timers.after(delay, [this, place, responder, attempt, result] {
        responder->send({200,
                         {{"Content-Type", "application/json"}, {"Cranberry-Attempt", attempt}},
                         toBytes(result)});
        m_plainCalls.erase(place);
    });
}

void TargetServer::answerLoad(const Responder &responder)
{
    const Milliseconds lag(m_faults.reportLagMs);
    sendJson(responder, 200, m_reports.at(m_timers.now(), lag));
}

void TargetServer::sampleLoad()
{
    const EngineSettings &engine = m_settings.engine;
    m_reports.add(m_timers.now(),
                  {{QStringLiteral("incarnation"), m_incarnation},
                   {QStringLiteral("resident_tokens"), usedBlocks(m_engine) * engine.blockTokens},
                   {QStringLiteral("capacity_tokens"), engine.capacityTokens},
                   {QStringLiteral("running"), m_engine.batch.size()},
                   {QStringLiteral("waiting"), m_engine.waiting.size()},
                   {QStringLiteral("preemptions"), m_engine.preemptions},
                   {QStringLiteral("leaving"), m_faults.leaving}},
                  Milliseconds(m_faults.reportLagMs));
    forgetOld();
}

void TargetServer::forgetOld()
{
    const MonotonicTime oldest = m_timers.now() - KeepFinished;
    for (auto answer = m_answers.begin(); answer != m_answers.end();) {
        const auto generation = m_engine.generations.constFind(answer.key());
        if (answer->finishedAt != MonotonicTime() && answer->finishedAt < oldest
            && isOver(*generation)) {
            m_visible.remove(answer.key());
            m_engine.generations.erase(generation);
            answer = m_answers.erase(answer);
        } else {
            ++answer;
        }
    }
}

void TargetServer::answerCacheEvents(const HttpRequest &request, const Responder &responder)
{
    const qint64 after = request.query.queryItemValue(QStringLiteral("after")).toLongLong();
    const Milliseconds lag(m_settings.cacheEventLagMs);
    sendJson(responder, 200,
             {{QStringLiteral("events"), m_cacheEvents.after(after, m_timers.now(), lag)}});
}

void TargetServer::recordRun(const QByteArray &attempt, const Answer &answer)
{
    const QByteArray workspace = answer.workspace.isEmpty() ? answer.salt : answer.workspace;
    m_runs.append(QJsonObject{{QStringLiteral("attempt"), QString::fromUtf8(attempt)},
                              {QStringLiteral("prompt_hash"), QString::fromUtf8(answer.promptHash)},
                              {QStringLiteral("key"), QString::fromUtf8(answer.key)},
                              {QStringLiteral("workspace"), QString::fromUtf8(workspace)}});
}

void TargetServer::scheduleStep()
{
    if (m_stepping || isIdle(m_engine))
        return;
    // Requests that arrive together share their first step.
    m_stepping = true;
    m_stepEnd = m_timers.now();
    m_step = {};
    m_stepTimer = m_timers.after(Milliseconds(0), [this] { finishStep(); });
}

void TargetServer::finishStep()
{
    for (const QByteArray &attempt : std::as_const(m_step.advanced)) {
        const Generation &generation = *m_engine.generations.constFind(attempt);
        if (generation.state == GenerationState::Cancelled)
            continue;
        m_visible[attempt] = generation.generated;
        if (generation.state == GenerationState::Finished)
            m_answers[attempt].finishedAt = m_timers.now();
    }
    pump();
    m_stepping = false;
    if (!isIdle(m_engine))
        beginStep();
}

void TargetServer::beginStep()
{
    m_stepping = true;
    m_step = step(m_engine);
    for (const QByteArray &attempt : std::as_const(m_step.started)) {
        const Answer &answer = m_answers[attempt];
        recordRun(attempt, answer);
        if (!m_faults.dieOn.isEmpty() && answer.prompt.contains(m_faults.dieOn))
            std::_Exit(DieStatus);
    }
    for (const CacheChange &change : std::as_const(m_step.cacheChanges))
        m_cacheEvents.add(m_timers.now(), change);
    // Timers count whole milliseconds: the end of each step is counted from the end of the
    // one before, so that fractions are not lost.
    const MonotonicTime now = m_timers.now();
    const auto duration =
        std::chrono::duration<double, std::milli>(m_step.durationMs * m_faults.slowFactor);
    m_stepEnd = std::max(m_stepEnd, now - Milliseconds(1))
        + std::chrono::duration_cast<MonotonicTime::duration>(duration);
    const auto wait = std::chrono::duration_cast<Milliseconds>(m_stepEnd - now);
    m_stepTimer = m_timers.after(std::max(wait, Milliseconds(0)), [this] { finishStep(); });
}

void TargetServer::addReader(Reader reader)
{
    if (reader.stream) {
        reader.responder->startStream(200,
                                      {{"Content-Type", "text/event-stream"},
                                       {"Cache-Control", "no-store"},
                                       {"Cranberry-Attempt", reader.attempt}});
    }
    m_readers.push_back(std::move(reader));
}

void TargetServer::pump()
{
    for (auto reader = m_readers.begin(); reader != m_readers.end();) {
        if (pump(*reader))
            ++reader;
        else
            reader = m_readers.erase(reader);
    }
}

bool TargetServer::pump(Reader &reader)
{
    const auto answer = m_answers.constFind(reader.attempt);
    if (answer == m_answers.constEnd() || !reader.responder->isOpen())
        return false;
    const Generation &generation = *m_engine.generations.constFind(reader.attempt);
    const bool finished = answer->finishedAt != MonotonicTime();
    if (generation.state == GenerationState::Cancelled) {
        reader.responder->abort();
        return false;
    }
    if (!reader.stream) {
        if (!finished)
            return true;
        reader.responder->send(
            {200,
             {{"Content-Type", "application/json"}, {"Cranberry-Attempt", reader.attempt}},
             wholeAnswer(generation, *answer)});
        return false;
    }
    if (reader.silent)
        return true;
    const int visible = m_visible.value(reader.attempt);
    while (reader.next < visible) {
        if (!reader.resumed && m_faults.stallAfter > 0 && reader.sent >= m_faults.stallAfter)
            return true;
        const auto result = reader.responder->write(eventOf(reader.attempt, *answer, reader.next));
        if (result == HttpResponder::WriteResult::TooSlow)
            return true;
        ++reader.next;
        ++reader.sent;
    }
    if (!finished)
        return true;
    reader.responder->write(lastEvent(generation, *answer));
    reader.responder->end();
    return false;
}

QByteArray TargetServer::eventOf(const QByteArray &attempt, const Answer &answer, int index) const
{
    QByteArray event = tokenEvent(attempt, answer, index);
    if (!m_faults.wrongAttempt || index % WrongAttemptInterval != 0)
        return event;
    return tokenEvent("wrong-" + attempt, answer, index) + event;
}

} // namespace cranberry::test
