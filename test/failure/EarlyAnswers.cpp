// Tests answers without a length that end while the request is still being written.
#define BOOST_TEST_MODULE EarlyAnswers
#include <boost/test/unit_test.hpp>

#include "http/TcpStream.h"
#include "standins/users/EarlyRunner.h"
#include "standins/users/RawRunner.h"
#include "support/EventLoop.h"
#include "support/Fleet.h"
#include "support/PlatformSite.h"

#include <QSet>
#include <QTcpSocket>

#include <sys/socket.h>

using namespace cranberry;
using namespace cranberry::test;
using standin::EarlyAnswer;
using standin::EarlyRunner;
using standin::RawRunner;

namespace {

constexpr int TargetsPerService = 40;
constexpr int MaxTries = 10;
constexpr int Repetitions = 5;
constexpr qsizetype UploadSizes[] = {300 * 1024, 4 * 1024 * 1024};
constexpr EarlyAnswer::End EarlyEnds[] = {EarlyAnswer::End::HalfClose, EarlyAnswer::End::Close,
                                          EarlyAnswer::End::Reset};

const QByteArray Sealed =
    "HTTP/1.1 200 OK\r\nCranberryquay-Response-Seal: s\r\nCranberryquay-Request-Id: ID\r\n";
/// A whole event, so that a stream does not end inside one.
const QByteArray Part = "id: 1\ndata: event 1\n\n";

/// One daemon and targets that all answer before they have read the body.
struct Fixture {
    Fixture()
    {
        for (int i = 0; i < TargetsPerService; ++i) {
            for (const QByteArray service : {"plain", "model"}) {
                const QByteArray entry = R"({"service": ")" + service
                    + R"(", "zone": "hall", "slots": 8, "state": "ready", "address": "127.0.0.1:)"
                    + QByteArray::number(target.endpoint().port) + "\"}";
                site.store().put(QStringLiteral("servers/%1-%2").arg(service).arg(i), entry);
            }
        }
        site.setCallerLimits(4096, 8 * 1024 * 1024);
        site.configure(1);
        daemon = site.startDaemon();
    }

    EarlyAnswer answerTo(const QByteArray &head)
    {
        const QByteArray id = RawRunner::header(head, "Cranberryquay-Request-Id");
        if (id.isEmpty()) {
            const QByteArray body = R"({"hold": "h", "queued": 0, "running": 0, "kvUsed": 0,)"
                                    R"( "kvTotal": 100000})";
            return {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: "
                        + QByteArray::number(body.size()) + "\r\n\r\n" + body,
                    EarlyAnswer::End::CloseAfterRequest};
        }
        reached.insert(id);
        QByteArray bytes = answer.bytes;
        return {bytes.replace("ID", id), answer.end};
    }

    /// All bytes that the client gets for a request that reached a target.
    QByteArray upload(const QByteArray &path, qsizetype size)
    {
        for (int tries = 0; tries < MaxTries; ++tries) {
            const QByteArray id = "r" + QByteArray::number(++requests);
            QTcpSocket socket;
            socket.connectToHost(QHostAddress::LocalHost, site.callers(daemon).port);
            QByteArray head = "POST " + path + " HTTP/1.1\r\nHost: site.example\r\n"
                + "Authorization: Bearer key\r\nCranberryquay-Deadline-Ms: 15000\r\n"
                + "Connection: close\r\nContent-Length: " + QByteArray::number(size)
                + "\r\nCranberryquay-Request-Id: " + id + "\r\n";
            const HttpHeaders generation = PlatformSite::generation();
            for (const HttpHeaders::Field &field : generation.fields())
                head += field.first + ": " + field.second + "\r\n";
            socket.write(head + "\r\n" + QByteArray(size, 'u'));
            QByteArray received;
            BOOST_TEST(waitFor([&] {
                received += socket.readAll();
                return socket.state() == QAbstractSocket::UnconnectedState;
            }));
            if (reached.contains(id))
                return received;
        }
        BOOST_ERROR("no request reached a target");
        return {};
    }

    test::PlatformSite site;
    EarlyAnswer answer;
    EarlyRunner target{[this](const QByteArray &head) { return answerTo(head); }};
    int daemon = -1;
    int requests = 0;
    /// Ids of the requests that reached the target.
    QSet<QByteArray> reached;
};

} // namespace

// Guards against a part of an answer that looks whole: its target ended the connection, in whatever
// way, before it had read the request.
BOOST_FIXTURE_TEST_CASE(AnswerThatEndsDuringTheUploadIsNotWhole, Fixture)
{
    for (const EarlyAnswer::End end : EarlyEnds) {
        answer = {Sealed + "\r\n" + Part, end};
        for (const qsizetype size : UploadSizes) {
            for (int i = 0; i < Repetitions; ++i) {
                for (const QByteArray path : {"/unsafe/a", "/safe/a"}) {
                    const QByteArray received = upload(path, size);
                    BOOST_TEST(received.startsWith("HTTP/1.1 502 "),
                               path.toStdString()
                                   << ", end " << int(end) << ", " << size
                                   << " bytes: " << received.left(200).toStdString());
                    BOOST_TEST(!received.contains("event 1"));
                }
                const QByteArray stream = upload("/model/a", size);
                BOOST_TEST(!stream.endsWith("0\r\n\r\n"),
                           "stream, end " << int(end) << ", " << size << " bytes");
            }
        }
    }
}

// Guards against sound answers that are rejected with the broken ones.
BOOST_FIXTURE_TEST_CASE(EarlyAnswerWithItsOwnEndIsForwarded, Fixture)
{
    const QByteArray length = "Content-Length: " + QByteArray::number(Part.size()) + "\r\n\r\n";
    const QByteArray chunks = "Transfer-Encoding: chunked\r\n\r\n"
        + QByteArray::number(Part.size(), 16) + "\r\n" + Part + "\r\n0\r\n\r\n";
    for (const qsizetype size : UploadSizes) {
        for (const QByteArray &body : {length + Part, chunks}) {
            answer = {Sealed + body, EarlyAnswer::End::KeepOpen};
            const QByteArray early = upload("/unsafe/a", size);
            BOOST_TEST(early.startsWith("HTTP/1.1 200 "));
            BOOST_TEST(early.contains(Part));
            BOOST_TEST(upload("/model/a", size).endsWith("0\r\n\r\n"));
            answer.bytes.replace("200 OK", "413 Too Large");
            const QByteArray rejected = upload("/unsafe/a", size);
            BOOST_TEST(rejected.startsWith("HTTP/1.1 413 "), rejected.toStdString());
        }
        answer = {Sealed + "\r\n" + Part, EarlyAnswer::End::CloseAfterRequest};
        const QByteArray orderly = upload("/unsafe/a", size);
        BOOST_TEST(orderly.startsWith("HTTP/1.1 200 "));
        BOOST_TEST(orderly.contains(Part));
        BOOST_TEST(upload("/model/a", size).endsWith("0\r\n\r\n"));
    }
}

// Guards against the same on the own interface.
BOOST_AUTO_TEST_CASE(OwnAnswerThatEndsDuringTheUploadIsNotWhole)
{
    ensureApplication();
    EarlyAnswer answer;
    int reached = 0;
    EarlyRunner target([&](const QByteArray &) {
        ++reached;
        return answer;
    });
    FleetPlan plan;
    plan.daemons = 1;
    plan.engines = 1;
    plan.plainServices = TargetsPerService;
    Fleet fleet(plan);
    BOOST_REQUIRE(fleet.start());
    QJsonObject document = fleet.document();
    QJsonObject targets = document.value("targets").toObject();
    for (int i = 0; i < TargetsPerService; ++i) {
        const QString name = QStringLiteral("plain%1").arg(i);
        QJsonObject entry = targets.value(name).toObject();
        entry.insert("url", QStringLiteral("http://127.0.0.1:%1").arg(target.endpoint().port));
        targets.insert(name, entry);
    }
    document.insert("targets", targets);
    BOOST_REQUIRE(fleet.apply(document) > 1);
    int calls = 0;
    const auto call = [&] {
        HttpHeaders headers = fleet.caller();
        headers.add("Cranberry-Idempotent", "no");
        headers.add("Idempotency-Key", "key-" + QByteArray::number(++calls));
        headers.add("Cranberry-Deadline-Ms", "3000");
        const QJsonObject body{{"number", calls}, {"text", QString(900 * 1024, u'u')}};
        return fleet.client().sendJson(fleet.gateway(0), "POST", "/services/status/book", body,
                                       headers);
    };
    answer = {"HTTP/1.1 200 OK\r\n\r\n{\"whole\":true}", EarlyAnswer::End::CloseAfterRequest};
    BOOST_TEST(call().is(200));
    for (const EarlyAnswer::End end : EarlyEnds) {
        answer = {"HTTP/1.1 200 OK\r\n\r\n{\"whole\":", end};
        reached = 0;
        for (int tries = 0; reached < Repetitions && tries < MaxTries; ++tries)
            BOOST_TEST(call().response.status != 200, "end " << int(end));
        BOOST_TEST(reached == Repetitions);
    }
}

// Guards against a reset that looks like an orderly close, since writing cleared the error.
BOOST_AUTO_TEST_CASE(ResetThatIsFoundByWritingIsAReset)
{
    ensureApplication();
    QTcpServer server;
    BOOST_REQUIRE(server.listen(QHostAddress::LocalHost));
    const auto stream =
        TcpStream::connectTo({QStringLiteral("127.0.0.1"), quint16(server.serverPort())});
    std::optional<TcpEnd> end;
    TcpStreamCallbacks callbacks;
    callbacks.ended = [&](TcpEnd how) { end = how; };
    stream->setCallbacks(callbacks);
    BOOST_REQUIRE(waitFor([&] { return stream->isConnected() && server.hasPendingConnections(); }));
    QTcpSocket *socket = server.nextPendingConnection();
    const linger abortive{1, 0};
    BOOST_REQUIRE(::setsockopt(int(socket->socketDescriptor()), SOL_SOCKET, SO_LINGER, &abortive,
                               sizeof(abortive))
                  == 0);
    socket->abort();
    stream->write("data");
    BOOST_REQUIRE(waitFor([&] { return end.has_value(); }));
    BOOST_TEST((*end == TcpEnd::Reset));
}
