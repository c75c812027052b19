// Requests that pass the bounds of the HTTP server are refused with a problem object.
#define BOOST_TEST_MODULE HttpBounds
#include <boost/test/unit_test.hpp>

#include "base/QtTimerService.h"
#include "base/TimerSubscription.h"
#include "http/HttpRequest.h"
#include "http/HttpResponder.h"
#include "http/HttpResponse.h"
#include "http/HttpServer.h"
#include "support/EventLoop.h"

#include <QTcpSocket>

using namespace cranberry;

namespace {

constexpr int BodyLimit = 64 * 1024;

struct Fixture {
    Fixture()
    {
        test::ensureApplication();
        limits.body = Bytes(BodyLimit);
        limits.headers = Bytes(8 * 1024);
        limits.connections = 4;
        limits.requestTimeout = Milliseconds(200);
        server = std::make_unique<HttpServer>(
            timers, limits,
            [this](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) {
                ++handled;
                responder->send({200, {}, "ok"});
            });
        port = server->listenOn(QHostAddress::LocalHost, 0).value();
    }

    QByteArray exchange(const QByteArray &text)
    {
        QTcpSocket socket;
        socket.connectToHost(QHostAddress::LocalHost, port);
        socket.write(text);
        QByteArray answer;
        test::waitFor(
            [&] {
                answer += socket.readAll();
                return answer.contains("}") || answer.contains("ok");
            },
            std::chrono::seconds(10));
        return answer;
    }

    QtTimerService timers;
    HttpServerLimits limits;
    std::unique_ptr<HttpServer> server;
    quint16 port = 0;
    int handled = 0;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(OversizedBodyIsRefusedBeforeItIsHeld, Fixture)
{
    const QByteArray answer =
        exchange("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000000\r\n\r\n"
                 + QByteArray(4 * BodyLimit, 'x'));
    BOOST_TEST(answer.startsWith("HTTP/1.1 413"));
    BOOST_TEST(answer.contains("body_too_large"));
    BOOST_TEST(answer.contains("\"ran\":\"no\""));
    BOOST_TEST(handled == 0);
}

BOOST_FIXTURE_TEST_CASE(OversizedHeadersAreRefused, Fixture)
{
    const QByteArray answer =
        exchange("GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + QByteArray(16 * 1024, 'x') + "\r\n\r\n");
    BOOST_TEST(answer.startsWith("HTTP/1.1 431"));
    BOOST_TEST(answer.contains("headers_too_large"));
    BOOST_TEST(handled == 0);
}

BOOST_FIXTURE_TEST_CASE(OneConnectionTooManyIsToldSo, Fixture)
{
    std::vector<std::unique_ptr<QTcpSocket>> open;
    for (int i = 0; i < limits.connections; ++i) {
        open.push_back(std::make_unique<QTcpSocket>());
        open.back()->connectToHost(QHostAddress::LocalHost, port);
    }
    BOOST_REQUIRE(test::waitFor([&] { return server->openConnections() == limits.connections; }));
    const QByteArray answer = exchange("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_TEST(answer.startsWith("HTTP/1.1 503"));
    BOOST_TEST(answer.contains("queue_full"));
    BOOST_TEST(handled == 0);
}

BOOST_FIXTURE_TEST_CASE(RequestThatNeverArrivesWholeIsClosed, Fixture)
{
    QTcpSocket socket;
    socket.connectToHost(QHostAddress::LocalHost, port);
    socket.write("POST / HTTP/1.1\r\nHost: x\r\n");
    BOOST_REQUIRE(test::waitFor([&] { return server->openConnections() == 1; }));
    BOOST_TEST(test::waitFor([&] { return server->openConnections() == 0; }));
}

BOOST_FIXTURE_TEST_CASE(ConnectionServesOneRequestAfterAnother, Fixture)
{
    QTcpSocket socket;
    socket.connectToHost(QHostAddress::LocalHost, port);
    for (int i = 1; i <= 3; ++i) {
        socket.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        QByteArray answer;
        BOOST_REQUIRE(test::waitFor([&] {
            answer += socket.readAll();
            return answer.endsWith("ok");
        }));
        BOOST_TEST(handled == i);
    }
}
