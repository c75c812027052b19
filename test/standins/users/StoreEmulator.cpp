#include "standins/users/StoreEmulator.h"

#include "base/TimerSubscription.h"
#include "http/CallerReply.h"
#include "http/HttpRequest.h"
#include "http/HttpResponse.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QUrl>
#include <QUrlQuery>

namespace cranberry::standin {

namespace {

void answer(const std::shared_ptr<CallerReply> &reply, int status, const QJsonObject &body)
{
    reply->send({status,
                 {{"Content-Type", "application/json"}},
                 QJsonDocument(body).toJson(QJsonDocument::Compact)});
}

HttpResponse rejection(ErrorKind)
{
    return {400, {}, {}};
}

} // namespace

StoreEmulator::StoreEmulator()
    : m_listeners{openDoor(Door::First), openDoor(Door::Second)}
{
}

std::unique_ptr<HttpListener> StoreEmulator::openDoor(Door door)
{
    auto listener = std::make_unique<HttpListener>(
        m_timers,
        [this, door](const HttpRequest &request, const std::shared_ptr<CallerReply> &reply) {
            handle(door, request, reply);
        },
        rejection);
    HttpEndpoint &endpoint = m_endpoints[std::size_t(door)];
    endpoint.address = QStringLiteral("127.0.0.1");
    endpoint.port = listener->listenOn(endpoint).value();
    return listener;
}

StoreEmulator::~StoreEmulator() = default;

void StoreEmulator::put(const QString &key, const QByteArray &value)
{
    m_items[key] = {value, ++m_revision, false};
    wake();
}

void StoreEmulator::remove(const QString &key)
{
    m_items[key] = {{}, ++m_revision, true};
    wake();
}

void StoreEmulator::refuse(Door door, bool refused)
{
    m_refused[std::size_t(door)] = refused;
    if (!refused)
        return;
    std::list<Watch> cut;
    for (auto watch = m_watches.begin(); watch != m_watches.end();) {
        const auto next = std::next(watch);
        if (watch->door == door)
            cut.splice(cut.end(), m_watches, watch);
        watch = next;
    }
    for (const Watch &watch : cut)
        watch.reply->abort();
}

void StoreEmulator::cutWatches(bool hearNothing)
{
    m_deaf = hearNothing;
    for (const Watch &watch : std::exchange(m_watches, {}))
        watch.reply->abort();
}

void StoreEmulator::handle(Door door, const HttpRequest &request,
                           const std::shared_ptr<CallerReply> &reply)
{
    const QUrl url = QUrl::fromEncoded(request.path);
    const QByteArray path = url.path().toUtf8();
    const QUrlQuery query(url);
    ++m_calls[path];
    const QJsonObject body = QJsonDocument::fromJson(request.body).object();
    if (m_silent)
        m_unanswered.push_back(reply);
    else if (m_refused[std::size_t(door)])
        answer(reply, 503, {});
    else if (path == "/v1/kv-range")
        range(query, reply);
    else if (path == "/v1/kv-watch")
        watch(door, query, reply);
    else if (path == "/v1/kv-txn")
        write(body, reply);
    else if (path == "/v1/kv-lease")
        answer(reply, 200, {{"lease", ++m_leases}, {"ttlMs", body.value("ttlMs")}});
    else
        answer(reply, 200, {});
}

QJsonArray StoreEmulator::itemsAfter(const QString &prefix, qint64 after) const
{
    QJsonArray items;
    for (auto item = m_items.cbegin(); item != m_items.cend(); ++item) {
        if (!item.key().startsWith(prefix) || item->revision <= after)
            continue;
        QJsonObject json{{"key", item.key()}, {"revision", item->revision}};
        if (item->isRemoved)
            json.insert("tombstone", true);
        else
            json.insert("value", QString::fromLatin1(item->value.toBase64()));
        items.append(json);
    }
    return items;
}

void StoreEmulator::range(const QUrlQuery &query, const std::shared_ptr<CallerReply> &reply)
{
    const QString prefix = query.queryItemValue("prefix", QUrl::FullyDecoded);
    ++m_reads[prefix];
    QJsonArray items;
    for (const QJsonValue item : itemsAfter(prefix, 0)) {
        if (!item.toObject().contains("tombstone"))
            items.append(item);
    }
    answer(reply, 200, {{"items", items}, {"hasMore", false}, {"asOf", m_revision}});
}

void StoreEmulator::watch(Door door, const QUrlQuery &query,
                          const std::shared_ptr<CallerReply> &reply)
{
    const qint64 after = query.queryItemValue("after").toLongLong();
    if (after < m_compacted) {
        answer(reply, 410, {});
        return;
    }
    Watch watch;
    watch.prefix = query.queryItemValue("prefix", QUrl::FullyDecoded);
    watch.after = after;
    m_waits.insert(watch.prefix, query.queryItemValue("waitMs").toInt());
    watch.isDeaf = m_deaf;
    watch.door = door;
    watch.reply = reply;
    watch.timeout = m_timers.after(
        Milliseconds(query.queryItemValue("waitMs").toLongLong()), [this, reply, after] {
            m_watches.remove_if([&](const Watch &other) { return other.reply == reply; });
            answer(reply, 200, {{"events", QJsonArray()}, {"asOf", after}});
        });
    m_watches.push_back(std::move(watch));
    wake();
}

void StoreEmulator::wake()
{
    for (auto watch = m_watches.begin(); watch != m_watches.end() && !m_silent;) {
        const QJsonArray events = itemsAfter(watch->prefix, watch->after);
        if (events.isEmpty() || watch->isDeaf) {
            ++watch;
            continue;
        }
        const std::shared_ptr<CallerReply> reply = watch->reply;
        watch = m_watches.erase(watch);
        answer(reply, 200, {{"events", events}, {"asOf", m_revision}});
    }
}

void StoreEmulator::write(const QJsonObject &body, const std::shared_ptr<CallerReply> &reply)
{
    for (const QJsonValue entry : body.value("puts").toArray())
        put(entry["key"].toString(), QByteArray::fromBase64(entry["value"].toString().toLatin1()));
    answer(reply, 200, {{"revision", m_revision}});
}

} // namespace cranberry::standin
