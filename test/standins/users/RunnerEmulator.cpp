#include "standins/users/RunnerEmulator.h"

#include "base/TimerSubscription.h"
#include "http/CallerReply.h"
#include "http/HttpResponse.h"
#include "standins/users/RetryChecks.h"

#include <QJsonDocument>
#include <QJsonObject>

namespace cranberry::standin {

namespace {

const QByteArray IdHeader = "Cranberryquay-Request-Id";

HttpResponse rejection(ErrorKind)
{
    return {400, {}, {}};
}

HttpResponse jsonAnswer(int status, const QJsonObject &body)
{
    return {status, {}, QJsonDocument(body).toJson(QJsonDocument::Compact)};
}

} // namespace

RunnerEmulator::RunnerEmulator(QByteArray id)
    : m_id(std::move(id))
    , m_listener(
          m_timers,
          [this](const HttpRequest &request, const Reply &reply) { handle(request, reply); },
          rejection)
{
    m_endpoint.address = QStringLiteral("127.0.0.1");
    m_endpoint.port = m_listener.listenOn(m_endpoint).value();
}

RunnerEmulator::~RunnerEmulator() = default;

QByteArray RunnerEmulator::address() const
{
    const HttpEndpoint endpoint = m_announced.value_or(m_endpoint);
    return endpoint.address.toLatin1() + ':' + QByteArray::number(endpoint.port);
}

QByteArray RunnerEmulator::entry(const QByteArray &service, const QByteArray &state) const
{
    QJsonObject json{{"service", QString::fromLatin1(service)},
                     {"address", QString::fromLatin1(address())},
                     {"zone", m_dataCentre},
                     {"slots", m_slots},
                     {"state", QString::fromLatin1(state)},
                     {"coldLeftMs", 0}};
    if (m_born)
        json.insert("born", *m_born);
    return QJsonDocument(json).toJson(QJsonDocument::Compact);
}

void RunnerEmulator::setGeneration(int events, Milliseconds interval)
{
    m_events = events;
    m_interval = interval;
}

void RunnerEmulator::crash()
{
    for (const std::shared_ptr<Run> &run : std::exchange(m_runs, {}))
        run->reply->abort();
}

void RunnerEmulator::startAgain(qint64 born)
{
    m_born = born;
    for (const std::shared_ptr<Run> &run : std::exchange(m_runs, {})) {
        run->timer.reset();
        m_silent.append(run);
    }
    m_reservations.clear();
}

HttpHeaders RunnerEmulator::answerHeaders(const HttpRequest &request) const
{
    HttpHeaders headers{{IdHeader, request.headers.value(IdHeader)},
                        {"Cranberryquay-Response-Seal", "seal-" + m_id}};
    if (!m_rateLimit.isEmpty())
        headers.add("Server-Limit", m_rateLimit);
    return headers;
}

bool RunnerEmulator::isContinuation(const HttpRequest &request)
{
    return request.headers.contains("Kv-From");
}

QByteArray RunnerEmulator::event(int number)
{
    const QByteArray text = QByteArray::number(number);
    return "id: " + text + "\ndata: event " + text + "\n\n";
}

void RunnerEmulator::handle(const HttpRequest &request, const Reply &reply)
{
    if (request.path == "/v1/report" && m_overridesReports && m_override(request, reply))
        return;
    if (request.path == "/v1/report") {
        QJsonObject report{
            {"queued", 0}, {"running", generating()}, {"kvUsed", 0}, {"kvTotal", 100000}};
        if (m_born)
            report.insert("born", *m_born);
        reply->send(jsonAnswer(200, report));
        return;
    }
    const QByteArray expected = request.headers.value("Cranberryquay-Expect-Instance");
    if (!expected.isEmpty() && expected != m_id) {
        reply->send({421, {{"Cranberryquay-Instance-Id", m_id}}, {}});
        return;
    }
    if (m_override && m_override(request, reply))
        return;
    if (request.path == "/v1/kv-move") {
        move(request, reply);
    } else if (request.path == "/v1/hold-take") {
        reserve(reply);
    } else if (request.path.startsWith("/v1/hold-drop/")) {
        m_reservations.remove(request.path.mid(qsizetype(strlen("/v1/hold-drop/"))));
        reply->send(jsonAnswer(200, {}));
    } else if (!takeReservation(request)) {
        reply->send(refusalAnswer(request));
    } else if (request.path.startsWith("/v1/")) {
        reply->send(jsonAnswer(200, {}));
    } else {
        m_ran.append(request);
        if (m_onRan)
            m_onRan(request);
        if (request.headers.contains("Cranberryquay-Token-Usage"))
            generate(request, reply);
        else
            answer(request, reply);
    }
}

void RunnerEmulator::answer(const HttpRequest &request, const Reply &reply)
{
    HttpHeaders headers = answerHeaders(request);
    if (m_answersPerConnection > 0 && m_ran.size() % m_answersPerConnection == 0)
        headers.add("Connection", "close");
    reply->send({200, headers, "answer to " + request.body});
}

void RunnerEmulator::generate(const HttpRequest &request, const Reply &reply)
{
    const QByteArray id = request.headers.value(IdHeader);
    const auto run = std::make_shared<Run>();
    run->request = request;
    run->reply = reply;
    run->made = run->sent = request.headers.value("Last-Event-Id").toInt();
    m_runs.insert(id, run);
    m_mostGenerating = std::max(m_mostGenerating, generating());
    HttpHeaders headers = answerHeaders(request);
    headers.add("Content-Type", "text/event-stream");
    reply->startStream(200, headers);
    reply->onCallerGone([this, id] { connectionClosed(id); });
    run->timer = m_timers.every(m_interval, [this, id] { step(id); });
}

void RunnerEmulator::connectionClosed(const QByteArray &id)
{
    if (m_worksOnAfterClose && m_runs.contains(id))
        m_runs.value(id)->isConnected = false;
    else
        m_runs.remove(id);
}

void RunnerEmulator::breakStreams()
{
    const QHash<QByteArray, std::shared_ptr<Run>> runs = m_runs;
    for (auto run = runs.cbegin(); run != runs.cend(); ++run) {
        run.value()->reply->abort();
        connectionClosed(run.key());
    }
}

void RunnerEmulator::step(const QByteArray &id)
{
    const std::shared_ptr<Run> run = m_runs.value(id);
    if (run->made < m_events) {
        ++run->made;
        if (m_onWorked)
            m_onWorked(run->request, run->made);
    }
    const bool isHeldBack = run->isConnected && m_isSilent;
    while (run->isConnected && !isHeldBack && run->sent < run->made)
        run->reply->write(event(++run->sent));
    if (run->made < m_events || isHeldBack)
        return;
    m_runs.remove(id);
    if (run->isConnected)
        run->reply->end();
}

void RunnerEmulator::reserve(const Reply &reply)
{
    if (generating() + reserved() >= m_room) {
        reply->send(jsonAnswer(503, {}));
        return;
    }
    const QByteArray id = "room-" + QByteArray::number(++m_granted);
    m_reservations.insert(id);
    reply->send(jsonAnswer(200, {{"hold", QString::fromLatin1(id)}}));
}

bool RunnerEmulator::takeReservation(const HttpRequest &request)
{
    const QByteArray id = request.headers.value("Cranberryquay-Hold");
    return id.isNull() || m_reservations.remove(id);
}

void RunnerEmulator::move(const HttpRequest &request, const Reply &reply)
{
    const QJsonObject order = QJsonDocument::fromJson(request.body).object();
    const QByteArray id = order.value("id").toString().toLatin1();
    const std::shared_ptr<Run> run = m_runs.value(id);
    if (!run) {
        reply->send(jsonAnswer(404, {}));
        return;
    }
    if (order.value("last").toBool()) {
        m_runs.remove(id);
        run->reply->abort();
        if (m_losesMoveAnswers) {
            reply->abort();
            return;
        }
    }
    reply->send(jsonAnswer(200, {{"handle", "copy"}, {"created", run->made}}));
}

} // namespace cranberry::standin
