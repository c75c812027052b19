// Requests whose bodies are in a transfer coding that a server does not decode.
#define BOOST_TEST_MODULE TransferCodings
#include <boost/test/unit_test.hpp>

#include "base/QtTimerService.h"
#include "http/CallerReply.h"
#include "http/HttpListener.h"
#include "http/HttpRequest.h"
#include "http/HttpResponder.h"
#include "http/HttpResponse.h"
#include "http/HttpServer.h"
#include "support/EventLoop.h"

#include <QTcpSocket>

using namespace cranberry;

namespace {

const QByteArray InnerRequest = "POST /inner HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";
/// Fields of a request that do not say where its body ends.
const QList<QByteArray> BadFields{
    "Transfer-Encoding: gzip\r\n",
    "Transfer-Encoding: identity\r\n",
    "Transfer-Encoding: chunked, identity\r\n",
    "Transfer-Encoding: chunked, chunked\r\n",
    "transfer-encoding: x-chunked\r\n",
    "Transfer-Encoding:\r\n",
    "Transfer-Encoding: \"chunked\"\r\n",
    "Transfer-Encoding: identity\r\nContent-Length: 0\r\n",
    "Content-Length: 0\r\nTransfer-Encoding: gzip\r\n",
    // The server does not decode the inner coding.
    "Transfer-Encoding: gzip, chunked\r\n",
    "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
};

QByteArray requestWith(const QByteArray &fields, const QByteArray &body)
{
    return "POST /outer HTTP/1.1\r\nHost: x\r\n" + fields + "\r\n" + body;
}

struct Fixture {
    Fixture() { test::ensureApplication(); }

    /// What the server on @p port sends until it closes the connection.
    static QByteArray answerTo(quint16 port, const QByteArray &text)
    {
        QTcpSocket socket;
        socket.connectToHost(QHostAddress::LocalHost, port);
        socket.write(text);
        QByteArray answer;
        BOOST_TEST(test::waitFor([&] {
            answer += socket.readAll();
            return socket.state() == QAbstractSocket::UnconnectedState;
        }));
        return answer;
    }

    QtTimerService timers;
    QStringList paths;
};

struct ListenerFixture : Fixture {
    ListenerFixture()
        : listener(
            timers,
            [this](const HttpRequest &request, const std::shared_ptr<CallerReply> &reply) {
                paths.append(QString::fromLatin1(request.path));
                bodies.append(request.body);
                reply->send({200, {}, "ok"});
            },
            [](ErrorKind) {
                return HttpResponse{400, {}, {}};
            })
    {
        port = listener.listenOn({QStringLiteral("127.0.0.1"), 0}).value();
    }

    QList<QByteArray> bodies;
    HttpListener listener;
    quint16 port = 0;
};

} // namespace

// Guards against a request that runs although it stands in the body of another one.
BOOST_FIXTURE_TEST_CASE(UndecodableBodyIsRejected, ListenerFixture)
{
    for (const QByteArray &fields : BadFields) {
        BOOST_TEST_CONTEXT(fields.trimmed().constData())
        {
            paths.clear();
            const QByteArray answer = answerTo(port, requestWith(fields, InnerRequest));
            BOOST_TEST(answer.startsWith("HTTP/1.1 400"));
            BOOST_TEST(answer.count("HTTP/1.1") == 1);
            BOOST_TEST(paths.isEmpty());
        }
    }
}

// The same for the server of the operators' interface.
BOOST_FIXTURE_TEST_CASE(UndecodableBodyIsRejectedForOperators, Fixture)
{
    HttpServer server(
        timers, HttpServerLimits(),
        [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
            paths.append(QString::fromLatin1(request.path));
            responder->send({200, {}, "ok"});
        });
    const quint16 port = server.listenOn(QHostAddress::LocalHost, 0).value();
    for (const QByteArray &fields : BadFields) {
        BOOST_TEST_CONTEXT(fields.trimmed().constData())
        {
            paths.clear();
            const QByteArray answer =
                answerTo(port, requestWith(fields + "Connection: close\r\n", InnerRequest));
            BOOST_TEST(!paths.contains(QStringLiteral("/inner")));
        }
    }
}

BOOST_FIXTURE_TEST_CASE(ChunkedBodyIsRead, ListenerFixture)
{
    for (const char *coding : {"chunked", "Chunked", " chunked "}) {
        const QByteArray fields =
            QByteArray("Transfer-Encoding:") + coding + "\r\nConnection: close\r\n";
        const QByteArray answer = answerTo(port, requestWith(fields, "5\r\nhello\r\n0\r\n\r\n"));
        BOOST_TEST(answer.startsWith("HTTP/1.1 200"));
        BOOST_TEST((bodies.last() == "hello"));
    }
    BOOST_TEST(paths.size() == 3);
}
