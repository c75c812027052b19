// Connections that the HTTP client uses again.
#define BOOST_TEST_MODULE HttpConnections
#include <boost/test/unit_test.hpp>

#include "base/QtTimerService.h"
#include "http/HttpClient.h"
#include "http/HttpExchangeOptions.h"
#include "http/HttpRequest.h"
#include "http/HttpResponse.h"
#include "http/ResponseMatch.h"
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

// A second response bears the id of the first one. One without an id is that of a request with an
// id only if it is the first one on its connection.
BOOST_AUTO_TEST_CASE(ResponsesBelongToRequestsByTheirIds)
{
    const ConnectionHistory isFirst{true, false};
    const ConnectionHistory hadNamed{false, true};
    const ConnectionHistory hadUnnamed{false, false};
    for (const ConnectionHistory &history : {isFirst, hadNamed, hadUnnamed}) {
        BOOST_TEST((matchResponse("a", "a", history) == ResponseMatch::Own));
        BOOST_TEST((matchResponse("b", "a", history) == ResponseMatch::Foreign));
        BOOST_TEST((matchResponse("", "", history) == ResponseMatch::Own));
    }
    BOOST_TEST((matchResponse("a", "", isFirst) == ResponseMatch::Own));
    BOOST_TEST((matchResponse("a", "", hadNamed) == ResponseMatch::Foreign));
    BOOST_TEST((matchResponse("a", "", hadUnnamed) == ResponseMatch::Uncertain));
    BOOST_TEST((matchResponse("", "a", isFirst) == ResponseMatch::Own));
    BOOST_TEST((matchResponse("", "a", hadNamed) == ResponseMatch::Foreign));
    BOOST_TEST((matchResponse("", "a", hadUnnamed) == ResponseMatch::Foreign));
}

// Guards against a response to a probe that counts as the response to the request after it.
BOOST_FIXTURE_TEST_CASE(ConnectionWithAnUnnamedResponseIsNotUsedIfNamesAreRequired, Fixture)
{
    HttpExchangeOptions probe;
    probe.reuseConnection = true;
    probe.echoHeader = "Id";
    HttpExchangeOptions request = probe;
    request.echoValue = "a";
    request.requireNamed = true;
    fetch(probe);
    fetch(request);
    BOOST_TEST(connections == 2);
    fetch(probe);
    BOOST_TEST(connections == 2);
}

// Guards against a second response to an earlier request of the same name that counts as the
// response to the later one.
BOOST_FIXTURE_TEST_CASE(ConnectionThatCarriedTheSameNameIsNotUsed, Fixture)
{
    HttpExchangeOptions first;
    first.reuseConnection = true;
    first.echoHeader = "Id";
    first.echoValue = "a";
    HttpExchangeOptions second = first;
    second.echoValue = "b";
    fetch(first);
    fetch(first);
    BOOST_TEST(connections == 2);
    fetch(second);
    BOOST_TEST(connections == 2);
}
