// Tests decoders of messages from peers and targets on damaged and truncated input, unexpected
// types and numbers beyond any bound. Decoding must not end the daemon.
#define BOOST_TEST_MODULE RelayMessages
#include <boost/test/unit_test.hpp>

#include "base/QtTimerService.h"
#include "base/TimerSubscription.h"
#include "delivery/ServerSentEventParser.h"
#include "http/HttpClient.h"
#include "relay/DataCentreHeads.h"
#include "relay/DemandMessage.h"
#include "relay/FeedMessage.h"
#include "relay/LoadExchange.h"
#include "relay/PeerDatagrams.h"
#include "relay/PeerDirectory.h"
#include "relay/RelayCounters.h"
#include "relay/RelayRequest.h"
#include "relay/StoreItemCompression.h"
#include "relay/TargetAnnouncements.h"
#include "relay/TargetDirectory.h"
#include "relay/TargetRecord.h"
#include "support/EventLoop.h"
#include "support/LoadFleet.h"

#include <QCborArray>
#include <QCborMap>
#include <QCborValue>
#include <QRandomGenerator>
#include <QTcpServer>
#include <QTcpSocket>

#include <cmath>
#include <limits>

using namespace cranberry;

namespace {

constexpr quint32 Seeds = 2000;

QCborValue oddValue(QRandomGenerator &random, int depth = 0)
{
    constexpr qint64 Least = std::numeric_limits<qint64>::min();
    constexpr qint64 Greatest = std::numeric_limits<qint64>::max();
    switch (random.bounded(depth > 3 ? 9 : 11)) {
    case 0:
        return Least;
    case 1:
        return Greatest;
    case 2:
        return -1;
    case 3:
        return double(random.bounded(1000)) / 0.0;
    case 4:
        return QString(random.bounded(100), QLatin1Char('x'));
    case 5:
        return QByteArray(random.bounded(100), char(random.bounded(256)));
    case 6:
        return QCborValue();
    case 7:
        return QCborValue(true);
    case 8:
        return qint64(random.bounded(10));
    case 9: {
        QCborMap map;
        map.insert(oddValue(random, depth + 1), oddValue(random, depth + 1));
        return map;
    }
    default: {
        QCborArray array;
        for (int i = random.bounded(6); i > 0; --i)
            array.append(oddValue(random, depth + 1));
        return array;
    }
    }
}

/// Replaces one value, at any depth.
QCborValue changedValue(const QCborValue &value, QRandomGenerator &random)
{
    QCborArray array = value.toArray();
    if (array.isEmpty() || random.bounded(8) == 0)
        return oddValue(random);
    const int at = random.bounded(int(array.size()));
    array[at] = changedValue(array.at(at), random);
    return array;
}

DemandReport soundReport(const ServiceId &service, MonotonicTime now)
{
    DemandReport report;
    report.service = service;
    for (int level = 0; level < 6; ++level) {
        report.demand.waiting.append({level * 70, ReturnKind::New, 3, {300, 20}, now});
        report.demand.placed.append({level * 70, 12.5});
    }
    report.demand.placements = 9;
    report.usage = {{WorkspaceId(QStringLiteral("a")), 5}, {WorkspaceId(QStringLiteral("b")), 1}};
    return report;
}

QByteArray damaged(QByteArray bytes, QRandomGenerator &random)
{
    for (int changes = 1 + random.bounded(6); changes > 0 && !bytes.isEmpty(); --changes)
        bytes[random.bounded(int(bytes.size()))] = char(random.bounded(256));
    if (random.bounded(4) == 0)
        bytes.truncate(random.bounded(int(bytes.size()) + 1));
    return bytes;
}

QByteArray withLength(quint32 length, const QByteArray &rest)
{
    QByteArray bytes;
    for (int shift = 24; shift >= 0; shift -= 8)
        bytes.append(char(length >> shift));
    return bytes + rest;
}

} // namespace

BOOST_AUTO_TEST_CASE(FeedMessagesOfOtherTypes)
{
    for (quint32 seed = 1; seed <= Seeds; ++seed) {
        QRandomGenerator random(seed);
        QCborArray body;
        for (int i = random.bounded(10); i > 0; --i)
            body.append(oddValue(random));
        if (!body.isEmpty() && random.bounded(2) == 0)
            body[0] = random.bounded(3);
        if (body.size() > 3 && random.bounded(2) == 0)
            body[3] = compressItems({{QStringLiteral("k"), "v", Revision(-1), false}});
        (void)decodeFeedMessage(body);
    }
}

// Guards against an allocation of the announced size: four bytes can announce gigabytes.
BOOST_AUTO_TEST_CASE(CompressedItemsThatAnnounceGigabytes)
{
    const QByteArray sound = compressItems({{QStringLiteral("k"), "v", Revision(1), false}});
    for (const quint32 length : {0U, 1U, 0x7fffffffU, 0x80000000U, 0xffffffffU}) {
        (void)decompressItems(withLength(length, sound.mid(4)));
        (void)decompressItems(withLength(length, {}));
        (void)decompressItems(withLength(length, QByteArray(100, 'x')));
    }
    for (quint32 seed = 1; seed <= Seeds; ++seed) {
        QRandomGenerator random(seed);
        (void)decompressItems(sound.left(4) + damaged(sound.mid(4), random));
    }
}

// Guards against a list that is taken as whole although it was cut short: the decoder returns what
// precedes the cut.
BOOST_AUTO_TEST_CASE(TruncatedItemsAreRejected)
{
    QList<StoreItem> items;
    for (int i = 0; i < 20; ++i)
        items.append({QStringLiteral("key-%1").arg(i), "value", Revision(i + 1), i % 2 == 0});
    const QByteArray bytes = compressItems(items);
    BOOST_REQUIRE(decompressItems(bytes));
    BOOST_TEST(decompressItems(bytes)->size() == items.size());
    const QByteArray decoded = qUncompress(bytes);
    for (qsizetype size = 1; size < decoded.size(); ++size)
        BOOST_TEST(!decompressItems(qCompress(decoded.left(size))));
    for (qsizetype size = 1; size < bytes.size(); ++size)
        BOOST_TEST(!decompressItems(bytes.left(size)));
}

// Guards against a stack overflow by deeply nested messages.
BOOST_AUTO_TEST_CASE(DeepMessages)
{
    for (const int depth : {1000, 1025, 60000, 1000000}) {
        (void)decodeFeedMessage(QCborValue::fromCbor(QByteArray(depth, char(0x81))).toArray());
        (void)decompressItems(qCompress(QByteArray(depth, char(0x81))));
    }
}

BOOST_AUTO_TEST_CASE(EventsInEveryPiece)
{
    const QByteArray stream = "id: 1\r\ndata: a\r\n\r\n: comment\n\nevent\n:\n\ndata\n\ndata:\n\n"
                              "id:\ndata: b\ndata: c\n\n\n\n\r\n\r\n";
    for (quint32 seed = 1; seed <= Seeds; ++seed) {
        QRandomGenerator random(seed);
        ServerSentEventParser parser;
        const QByteArray bytes = seed == 1 ? stream : damaged(stream, random);
        for (qsizetype at = 0; at < bytes.size();) {
            const int size = 1 + random.bounded(7);
            (void)parser.feed(bytes.mid(at, size));
            at += size;
        }
    }
}

// Guards against unexpected types and numbers in rows of loads, heads, copies, leaving targets and
// forwarded messages.
BOOST_AUTO_TEST_CASE(DatagramsOfOtherTypes)
{
    test::ensureApplication();
    test::LoadFleet fleet(2, 2);
    test::LoadDaemon &daemon = fleet.daemon(0, 0);
    Peer peer;
    peer.vm = VmId(QStringLiteral("garbage"));
    peer.dataCentre = DataCentreId(QStringLiteral("elsewhere"));
    for (quint32 seed = 1; seed <= Seeds; ++seed) {
        QRandomGenerator random(seed);
        QCborArray rows;
        for (int i = random.bounded(5); i > 0; --i) {
            QCborArray row{QStringLiteral("engine-0")};
            for (int field = random.bounded(6); field > 0; --field)
                row.append(oddValue(random));
            rows.append(random.bounded(3) == 0 ? oddValue(random) : QCborValue(row));
        }
        QCborArray body = rows;
        if (random.bounded(2) == 0)
            body = QCborArray{rows, rows, random.bounded(9), rows};
        daemon.datagrams.deliver(peer, DatagramKind(random.bounded(int(DatagramKindCount))), body);
        (void)daemon.targets.loadExcluding(TargetId(QStringLiteral("engine-0")), {});
    }
    bool isOver = false;
    QtTimerService timers;
    const auto timer = timers.after(Milliseconds(600), [&] { isOver = true; });
    BOOST_TEST(test::waitFor([&] { return isOver; }));
}

// Guards against values of other types and damaged bytes in what daemons tell each other of demand,
// rates and promises. What is decided from them stays within its range.
BOOST_AUTO_TEST_CASE(DemandOfOtherTypes)
{
    test::ensureApplication();
    test::LoadFleet fleet(1, 2);
    test::LoadDaemon &daemon = fleet.daemon(0, 0);
    const ServiceId service(QStringLiteral("engine"));
    const WorkspaceId workspace(QStringLiteral("a"));
    Peer peer;
    peer.dataCentre = DataCentreId(QStringLiteral("hall0"));
    qint64 damagedBodies = 0;
    for (quint32 seed = 1; seed <= Seeds; ++seed) {
        QRandomGenerator random(seed);
        peer.vm = VmId(QString::number(seed % 50));
        const MonotonicTime now = QtTimerService().now();
        const QList<DemandReport> reports{soundReport(service, now)};
        ReturnPromise promise;
        promise.fingerprint = random.bounded(20);
        promise.due = now + Milliseconds(random.bounded(200));
        promise.callerTime = Milliseconds(6000);
        promise.roomSeconds = 5;
        promise.isFirm = true;
        const QList<QCborArray> bodies{
            encodeDemand({reports, {}, {}}, now), encodeDemand({{}, service, {promise}}, now),
            QCborArray{QCborArray(),
                       QCborArray{QCborArray{QStringLiteral("engine-0"), QCborArray{20000, 3},
                                             QCborArray{7000, 3}, QCborArray{10000, 3}}},
                       encodeRates(reports)}};
        const int chosen = random.bounded(int(bodies.size()));
        QCborValue body = bodies.at(chosen);
        for (int changes = random.bounded(4); changes > 0; --changes)
            body = changedValue(body, random);
        if (random.bounded(4) == 0)
            body = QCborValue::fromCbor(damaged(body.toCbor(), random));
        damagedBodies += body.isArray() ? 0 : 1;
        daemon.datagrams.deliver(peer, chosen < 2 ? DatagramKind::Demand : DatagramKind::Load,
                                 body.toArray());
        const Urgency urgency{4, ReturnKind::New, now};
        const Work ahead = daemon.admission.workAhead(service, urgency);
        BOOST_TEST(std::isfinite(ahead.room));
        BOOST_TEST(ahead.room >= 0);
        const AdmissionEstimate estimate =
            daemon.admission.estimate(service, urgency, {}, {100, 5}, Milliseconds(1000));
        BOOST_TEST(std::isfinite(estimate.placedPerSecond.value_or(0)));
        BOOST_TEST(estimate.wait.value_or(Milliseconds(0)).count() >= 0);
        const int level = daemon.admission.level(service, workspace, 1);
        BOOST_TEST(level >= LevelsPerPriority);
        BOOST_TEST(level < 2 * LevelsPerPriority);
        (void)daemon.admission.recordArrival(service, random.bounded(20), Milliseconds(5000));
        const Milliseconds delay =
            daemon.admission.reject(service, level, {100, 5}, random.bounded(20),
                                    Milliseconds(6000), Milliseconds(6000), estimate);
        BOOST_TEST(delay.count() >= 100);
        BOOST_TEST(delay.count() <= 12000);
        const TargetRecord *target = daemon.targets.find(TargetId(QStringLiteral("engine-0")));
        BOOST_REQUIRE(target);
        BOOST_TEST(std::isfinite(target->speed.reading.value));
    }
    BOOST_TEST(damagedBodies > 0);
    BOOST_TEST(daemon.admission.figures().size() <= 2);
    BOOST_TEST(daemon.admission.exchangeCounters().unreadable > 0);
}

// Guards against answers that are truncated, announce gigabytes or contain damaged bytes.
BOOST_AUTO_TEST_CASE(AnswersOnTheWire)
{
    test::ensureApplication();
    QTcpServer server;
    BOOST_REQUIRE(server.listen(QHostAddress::LocalHost));
    quint32 seed = 0;
    const QList<QByteArray> answers{
        "HTTP/1.1 200 OK\r\nContent-Length: 9223372036854775807\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: 18446744073709551615\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\nHTTP/1.1 200",
        "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9223372036854775807\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=-9223372036854775807\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 None\r\n\r\n",
        "HTTP/1.1 200 OK\r\nX: " + QByteArray(70000, 'x') + "\r\n\r\n",
        "HTTP/1.1 999999 OK\r\n\r\n",
        "HTTP/9.9 200 OK\r\n\r\n",
        "\r\n\r\n\r\n",
        {}};
    QObject::connect(&server, &QTcpServer::newConnection, &server, [&] {
        QTcpSocket *socket = server.nextPendingConnection();
        QRandomGenerator random(seed);
        const QByteArray &answer = answers.at(qsizetype(seed) % answers.size());
        socket->write(seed < quint32(answers.size()) ? answer : damaged(answer, random));
        socket->flush();
        if (random.bounded(2) == 0)
            socket->abort();
        else
            socket->disconnectFromHost();
    });
    QtTimerService timers;
    HttpClient client(timers);
    HttpExchangeOptions options;
    options.reuseConnection = true;
    options.timeout = Milliseconds(200);
    for (; seed < 300; ++seed) {
        HttpRequest request;
        request.method = "GET";
        request.path = "/";
        bool isOver = false;
        const auto exchange =
            client.fetch({QStringLiteral("127.0.0.1"), server.serverPort()}, request, options,
                         [&](HttpExchangeEnd, const HttpResponse &) { isOver = true; });
        BOOST_REQUIRE(test::waitFor([&] { return isOver; }));
    }
}
