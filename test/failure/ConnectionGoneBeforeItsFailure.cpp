// Tests connections whose failure is reported by a queued call.
#define BOOST_TEST_MODULE ConnectionGoneBeforeItsFailure
#include <boost/test/unit_test.hpp>

#include "base/QtTimerService.h"
#include "http/HttpClient.h"
#include "http/HttpExchangeOptions.h"
#include "http/HttpRequest.h"
#include "http/TcpStream.h"
#include "support/EventLoop.h"
#include "support/ManualTimers.h"

#include <QCoreApplication>

using namespace cranberry;

namespace {

/// connect() refuses it at once; the other cannot be parsed.
const QString UnreachableAddress = QStringLiteral("255.255.255.255");
const QString InvalidAddress = QStringLiteral("not an address");
/// No connection gets as far as a port.
constexpr quint16 Port = 1;
/// Freed memory is reused within this many connections.
constexpr int Connections = 100;

/// Delivers all queued calls, then deletes the objects whose deletion is deferred.
void runQueuedCalls()
{
    QCoreApplication::sendPostedEvents();
    QCoreApplication::sendPostedEvents(nullptr, QEvent::DeferredDelete);
}

struct Fixture {
    Fixture() { test::ensureApplication(); }
};

} // namespace

// Guards against a crash: a connection that failed at once was destroyed before its failure was
// reported, and the queued report used the destroyed stream.
BOOST_FIXTURE_TEST_CASE(DestroyedStreamReportsNoFailure, Fixture)
{
    for (const QString &address : {UnreachableAddress, InvalidAddress}) {
        int reports = 0;
        for (int i = 0; i < Connections; ++i) {
            const auto stream = TcpStream::connectTo({address, Port});
            TcpStreamCallbacks callbacks;
            callbacks.ended = [&reports](TcpEnd) { ++reports; };
            stream->setCallbacks(std::move(callbacks));
        }
        runQueuedCalls();
        BOOST_TEST(reports == 0);
    }
}

// The same at the level of requests: a request is abandoned in the step that sent it.
BOOST_FIXTURE_TEST_CASE(AbandonedRequestReportsNoFailure, Fixture)
{
    QtTimerService timers;
    HttpClient client(timers);
    HttpRequest request;
    request.method = "GET";
    request.path = "/";
    HttpExchangeOptions options;
    options.connectTimeout = std::chrono::seconds(30);
    int reports = 0;
    for (int i = 0; i < Connections; ++i) {
        const auto exchange =
            client.fetch({UnreachableAddress, Port}, request, options,
                         [&reports](HttpExchangeEnd, const HttpResponse &) { ++reports; });
    }
    runQueuedCalls();
    BOOST_TEST(reports == 0);
}

// A connection that fails at once and is kept reports it once, after the call that opened it.
BOOST_FIXTURE_TEST_CASE(KeptStreamReportsItsFailureOnce, Fixture)
{
    for (const QString &address : {UnreachableAddress, InvalidAddress}) {
        QList<TcpEnd> ends;
        const auto stream = TcpStream::connectTo({address, Port});
        TcpStreamCallbacks callbacks;
        callbacks.ended = [&ends](TcpEnd end) { ends.append(end); };
        stream->setCallbacks(std::move(callbacks));
        BOOST_TEST(ends.isEmpty());
        runQueuedCalls();
        runQueuedCalls();
        BOOST_TEST((ends == QList<TcpEnd>{TcpEnd::NotConnected}));
    }
}

// The same with a connect timeout that passes before the failure is reported, as in a daemon whose
// step of the event loop takes longer than the timeout. The request ends once.
BOOST_FIXTURE_TEST_CASE(ConnectTimeoutBeforeTheFailureEndsTheRequestOnce, Fixture)
{
    constexpr Milliseconds ConnectTimeout{50};
    test::ManualTimers timers;
    HttpClient client(timers);
    HttpRequest request;
    request.method = "GET";
    request.path = "/";
    HttpExchangeOptions options;
    options.connectTimeout = ConnectTimeout;
    std::vector<std::unique_ptr<HttpExchange>> exchanges;
    exchanges.reserve(Connections);
    int reports = 0;
    for (int i = 0; i < Connections; ++i)
        exchanges.push_back(
            client.fetch({UnreachableAddress, Port}, request, options,
                         [&reports](HttpExchangeEnd, const HttpResponse &) { ++reports; }));
    timers.advance(ConnectTimeout);
    BOOST_TEST(reports == Connections);
    runQueuedCalls();
    BOOST_TEST(reports == Connections);
}
