#include "standins/platform/PlatformService.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "http/HttpRequest.h"
#include "http/HttpResponder.h"
#include "http/HttpResponse.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QUrl>

namespace cranberry::standin {

namespace {

constexpr int MaximumValueSize = 1024 * 1024;
const QByteArray KeyPath = "/kv/";
const QByteArray LeasePath = "/leases";

QByteArray compact(const QJsonObject &object)
{
    return QJsonDocument(object).toJson(QJsonDocument::Compact);
}

QJsonObject parsed(const QByteArray &body)
{
    return QJsonDocument::fromJson(body).object();
}

QJsonObject entryJson(const KeyValue &entry)
{
    return {{"key", entry.key},
            {"value", QString::fromUtf8(entry.value)},
            {"revision", entry.revision.value()}};
}

QByteArray listJson(const QList<KeyValue> &entries)
{
    QJsonArray array;
    for (const KeyValue &entry : entries)
        array.append(entryJson(entry));
    return compact({{"entries", array}});
}

QByteArray revisionJson(Revision revision)
{
    return compact({{"revision", revision.value()}});
}

} // namespace

PlatformService::PlatformService(TimerService &timers)
    : m_timers(timers)
{
}

PlatformService::~PlatformService() = default;

void PlatformService::handle(const HttpRequest &request, const Responder &responder)
{
    if (handleControl(request, responder))
        return;
    if (m_faults.down) {
        responder->abort();
        return;
    }
    if (m_faults.delay.count() == 0) {
        serve(request, responder);
        return;
    }
    // The effect is late too: a caller that gave up may see its write appear afterwards.
    later(m_faults.delay, [this, request, responder] { serve(request, responder); });
}

bool PlatformService::handleControl(const HttpRequest &request, const Responder &responder)
{
    if (request.path == "/faults" && request.method == "POST") {
        m_faults = changedFaults(m_faults, parsed(request.body));
        if (m_faults.down)
            m_watches.clear(); // dropping a responder closes its connection
        responder->send(jsonResponse(200, compact(toJson(m_faults))));
        return true;
    }
    if (request.path == "/counts" && request.method == "GET") {
        responder->send(jsonResponse(200,
                                     compact({{"reads", m_counts.reads},
                                              {"writes", m_counts.writes},
                                              {"watches", m_counts.watches},
                                              {"waiting_watches", int(m_watches.size())}})));
        return true;
    }
    if (request.path == "/vms" && request.method == "PUT") {
        replaceVms(parsed(request.body)["vms"].toArray());
        responder->send(jsonResponse(200, "{}"));
        return true;
    }
    return false;
}

void PlatformService::serve(const HttpRequest &request, const Responder &responder)
{
    if (request.path.startsWith(KeyPath)) {
        const QString key = QUrl::fromPercentEncoding(request.path.mid(KeyPath.size()));
        serveKey(request, key, responder);
    } else if (request.path == "/kv" && request.method == "GET") {
        serveList(request, responder);
    } else if (request.path.startsWith(LeasePath) && request.method == "POST") {
        serveLease(request, responder);
    } else if (request.path == "/vms" && request.method == "GET") {
        ++m_counts.reads;
        responder->send(jsonResponse(200, compact({{"vms", m_vms}})));
    } else {
        responder->send(jsonResponse(404, "{}"));
    }
}

void PlatformService::serveKey(const HttpRequest &request, const QString &key,
                               const Responder &responder)
{
    if (request.method == "GET") {
        ++m_counts.reads;
        const KeyValue entry = m_table.read(key);
        if (entry.revision == Revision(0))
            responder->send(jsonResponse(404, revisionJson(Revision(0))));
        else
            responder->send(jsonResponse(200, compact(entryJson(entry))));
        return;
    }
    ++m_counts.writes;
    bool isNumber = false;
    const Revision expected(request.headers.value("If-Match").toLongLong(&isNumber));
    const QByteArray value = parsed(request.body)["value"].toString().toUtf8();
    if (!isNumber || value.size() > MaximumValueSize) {
        responder->send(jsonResponse(400, "{}"));
        return;
    }
    std::optional<LeaseId> lease;
    if (request.headers.contains("Lease"))
        lease = LeaseId(request.headers.value("Lease").toLongLong());
    if (lease && m_leases.count(lease->value()) == 0) {
        responder->send(jsonResponse(404, "{}"));
        return;
    }
    const SwapResult result = request.method == "PUT"
        ? m_table.compareAndSwap(key, expected, value, lease)
        : m_table.remove(key, expected);
    const int status = result.outcome == SwapOutcome::Swapped ? 200 : 412;
    answerWrite(key, responder, status, revisionJson(result.revision));
    answerWatches();
}

void PlatformService::answerWrite(const QString &key, const Responder &responder, int status,
                                  const QByteArray &body)
{
    if (losesAnswer(key))
        responder->abort();
    else
        responder->send(jsonResponse(status, body));
}

bool PlatformService::losesAnswer(const QString &key)
{
    if (m_faults.loseAnswers == 0 || !key.startsWith(m_faults.loseAnswersUnder))
        return false;
    --m_faults.loseAnswers;
    return true;
}

void PlatformService::serveList(const HttpRequest &request, const Responder &responder)
{
    const QString prefix = request.query.queryItemValue("prefix", QUrl::FullyDecoded);
    if (request.query.hasQueryItem("after")) {
        startWatch(request, prefix, responder);
        return;
    }
    ++m_counts.reads;
    responder->send(jsonResponse(200, listJson(m_table.list(prefix))));
}

void PlatformService::startWatch(const HttpRequest &request, const QString &prefix,
                                 const Responder &responder)
{
    ++m_counts.watches;
    const Revision after(request.query.queryItemValue("after").toLongLong());
    const Milliseconds wait(request.query.queryItemValue("wait_ms").toLongLong());
    const qint64 id = ++m_lastId;
    responder->onCallerGone([this, id] { m_watches.erase(id); });
    auto timeout = m_timers.after(wait, [this, id] {
        const Watch watch = std::move(m_watches.at(id));
        m_watches.erase(id);
        watch.responder->send(jsonResponse(200, listJson({})));
    });
    m_watches.emplace(id, Watch{responder, prefix, after, std::move(timeout)});
    answerWatches();
}

void PlatformService::answerWatches()
{
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        const QList<KeyValue> entries = m_table.list(watch->second.prefix, watch->second.after);
        if (entries.isEmpty()) {
            ++watch;
            continue;
        }
        const Responder responder = watch->second.responder;
        watch = m_watches.erase(watch);
        responder->send(jsonResponse(200, listJson(entries)));
    }
}

void PlatformService::serveLease(const HttpRequest &request, const Responder &responder)
{
    ++m_counts.writes;
    const QList<QByteArray> parts = request.path.mid(LeasePath.size()).split('/');
    const bool renewal = parts.size() == 3 && parts[2] == "renew";
    const LeaseId lease(renewal ? parts[1].toLongLong() : ++m_lastId);
    if (renewal && m_leases.count(lease.value()) == 0) {
        responder->send(jsonResponse(404, "{}"));
        return;
    }
    if (!renewal) {
        m_leases[lease.value()].duration = Milliseconds(parsed(request.body)["ttl_ms"].toInteger());
    }
    armLease(lease);
    answerWrite({}, responder, 200, compact({{"lease", lease.value()}}));
}

void PlatformService::armLease(LeaseId lease)
{
    Lease &entry = m_leases.at(lease.value());
    entry.expiry = m_timers.after(entry.duration, [this, lease] {
        m_table.endLease(lease);
        m_leases.erase(lease.value());
    });
}

void PlatformService::replaceVms(const QJsonArray &vms)
{
    later(m_faults.vmListLag, [this, vms] { m_vms = vms; });
}

void PlatformService::later(Milliseconds delay, std::function<void()> action)
{
    if (delay.count() == 0) {
        action();
        return;
    }
    const qint64 id = ++m_lastId;
    m_delayed[id] = m_timers.after(delay, [this, id, action = std::move(action)] {
        const std::function<void()> own = action;
        m_delayed.erase(id);
        own();
    });
}

} // namespace cranberry::standin
