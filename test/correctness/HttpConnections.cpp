// Connections that the HTTP client uses again.
#define BOOST_TEST_MODULE HttpConnections
#include <boost/test/unit_test.hpp>

#include "base/QtTimerService.h"
#include "http/HttpClient.h"
#include "http/HttpExchangeOptions.h"
#include "http/HttpRequest.h"
#include "http/HttpResponse.h"
#include "support/EventLoop.h"

#include <QTcpServer>
#include <QTcpSocket>

using namespace cranberry;
using namespace std::chrono_literals;

namespace {

/// Answers whatever comes and counts the connections.
struct Fixture {
    Fixture()
    {
        test::ensureApplication();
        BOOST_REQUIRE(server.listen(QHostAddress::LocalHost));
        QObject::connect(&server, &QTcpServer::newConnection, &server, [this] {
            ++connections;
            QTcpSocket *socket = server.nextPendingConnection();
            QObject::connect(socket, &QTcpSocket::readyRead, socket, [socket] {
                socket->readAll();
                socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            });
        });
    }

    void fetch(const HttpExchangeOptions &options)
    {
        HttpRequest request;
        request.method = "GET";
        request.path = "/";
        bool isOver = false;
        const auto exchange =
            client.fetch({QStringLiteral("127.0.0.1"), server.serverPort()}, request, options,
                         [&](HttpExchangeEnd end, const HttpResponse &) {
                             BOOST_TEST((end == HttpExchangeEnd::Complete));
                             isOver = true;
                         });
        BOOST_REQUIRE(test::waitFor([&] { return isOver; }));
    }

    QTcpServer server;
    QtTimerService timers;
    HttpClient client{timers};
    int connections = 0;
};

} // namespace

// Every call opened a connection of its own though it asked for reuse: the default limit of idle
// time was the greatest number of milliseconds, which overflowed where it met nanoseconds.
BOOST_FIXTURE_TEST_CASE(WithoutALimitAnIdleConnectionIsUsedAgain, Fixture)
{
    HttpExchangeOptions options;
    options.reuseConnection = true;
    for (int i = 0; i < 3; ++i)
        fetch(options);
    BOOST_TEST(connections == 1);
}

BOOST_FIXTURE_TEST_CASE(OneIdleForTooLongIsNot, Fixture)
{
    HttpExchangeOptions options;
    options.reuseConnection = true;
    options.maxIdleTime = 0ms;
    for (int i = 0; i < 3; ++i)
        fetch(options);
    BOOST_TEST(connections == 3);
}
