// Streams of the HTTP server and client: many at once, each whole and in order.
#define BOOST_TEST_MODULE HttpStreams
#include <boost/test/unit_test.hpp>

#include "base/QtTimerService.h"
#include "base/TimerSubscription.h"
#include "http/HttpClient.h"
#include "http/HttpResponder.h"
#include "http/HttpServer.h"
#include "support/EventLoop.h"

#include <QTcpSocket>

using namespace cranberry;

namespace {

constexpr int Chunks = 20;

struct Stream {
    std::shared_ptr<HttpResponder> responder;
    QByteArray name;
    int next = 0;
};

QByteArray expectedText(const QByteArray &name)
{
    QByteArray text;
    for (int i = 0; i < Chunks; ++i)
        text += name + '.' + QByteArray::number(i) + '\n';
    return text;
}

struct Fixture {
    Fixture()
    {
        test::ensureApplication();
        server = std::make_unique<HttpServer>(
            timers, HttpServerLimits(),
            [this](const HttpRequest &request, std::shared_ptr<HttpResponder> responder) {
                if (request.path == "/whole") {
                    whole.push_back(std::move(responder));
                    return;
                }
                responder->startStream(200, {});
                streams.push_back({std::move(responder), request.path.mid(1)});
            });
        endpoint = {QStringLiteral("127.0.0.1"),
                    server->listenOn(QHostAddress::LocalHost, 0).value()};
    }

    void writeOneEach()
    {
        for (Stream &stream : streams) {
            if (stream.next < Chunks)
                stream.responder->write(stream.name + '.' + QByteArray::number(stream.next) + '\n');
            else if (stream.next == Chunks)
                stream.responder->end();
            ++stream.next;
        }
    }

    QtTimerService timers;
    std::unique_ptr<HttpServer> server;
    std::vector<Stream> streams;
    std::vector<std::shared_ptr<HttpResponder>> whole;
    HttpEndpoint endpoint;
    HttpClient client{timers};
};

} // namespace

BOOST_FIXTURE_TEST_CASE(FiveHundredStreamsAtOnceArriveWhole, Fixture)
{
    constexpr int Count = 500;
    std::vector<std::unique_ptr<HttpExchange>> exchanges;
    int complete = 0;
    int wrong = 0;
    for (int i = 0; i < Count; ++i) {
        const QByteArray name = "s" + QByteArray::number(i);
        exchanges.push_back(client.fetch(
            endpoint, {"GET", "/" + name, {}, {}, {}}, {},
            [&, name](HttpExchangeEnd end, const HttpResponse &response) {
                ++complete;
                wrong += end != HttpExchangeEnd::Complete || response.body != expectedText(name);
            }));
    }
    BOOST_REQUIRE(test::waitFor([&] { return streams.size() == Count; }));
    const auto ticks = timers.every(Milliseconds(1), [this] { writeOneEach(); });
    BOOST_REQUIRE(test::waitFor([&] { return complete == Count; }));
    BOOST_TEST(wrong == 0);
}

BOOST_FIXTURE_TEST_CASE(AnswerWithItsLengthArrivesWhole, Fixture)
{
    HttpResponse received;
    HttpExchangeEnd end = HttpExchangeEnd::Broken;
    bool finished = false;
    const auto exchange = client.fetch(endpoint, {"GET", "/whole", {}, {}, {}}, {},
                                       [&](HttpExchangeEnd how, const HttpResponse &response) {
                                           end = how;
                                           received = response;
                                           finished = true;
                                       });
    BOOST_REQUIRE(test::waitFor([&] { return whole.size() == 1; }));
    whole[0]->send(jsonResponse(200, "{\"a\":1}"));
    BOOST_REQUIRE(test::waitFor([&] { return finished; }));
    BOOST_CHECK(end == HttpExchangeEnd::Complete);
    BOOST_CHECK(received.body == "{\"a\":1}");
}

BOOST_FIXTURE_TEST_CASE(ConnectionClosedBeforeTheAnswerIsBroken, Fixture)
{
    // The target resets the connection with the request in its hands: taken for a whole
    // answer, a request that may have run would be told to its caller as finished.
    HttpExchangeEnd end = HttpExchangeEnd::Complete;
    bool finished = false;
    const auto exchange = client.fetch(endpoint, {"GET", "/whole", {}, {}, {}}, {},
                                       [&](HttpExchangeEnd how, const HttpResponse &) {
                                           end = how;
                                           finished = true;
                                       });
    BOOST_REQUIRE(test::waitFor([&] { return whole.size() == 1; }));
    whole[0]->abort();
    BOOST_REQUIRE(test::waitFor([&] { return finished; }));
    BOOST_CHECK(end == HttpExchangeEnd::Broken);
}

BOOST_FIXTURE_TEST_CASE(CallerThatLeavesIsNoticedAndWritesAreDropped, Fixture)
{
    bool gone = false;
    auto exchange = client.send(endpoint, {"GET", "/x", {}, {}, {}}, {}, {});
    BOOST_REQUIRE(test::waitFor([&] { return streams.size() == 1; }));
    streams[0].responder->onCallerGone([&] { gone = true; });
    exchange.reset();
    BOOST_REQUIRE(test::waitFor([&] { return gone; }));
    BOOST_CHECK(streams[0].responder->write("late") == HttpResponder::WriteResult::Gone);
}

BOOST_FIXTURE_TEST_CASE(StreamDroppedByTheServerLooksBrokenToTheCaller, Fixture)
{
    // A caller must never take half an answer for a whole one.
    HttpExchangeEnd end = HttpExchangeEnd::Complete;
    bool finished = false;
    HttpExchangeCallbacks callbacks;
    callbacks.finished = [&](HttpExchangeEnd how, const QString &) {
        end = how;
        finished = true;
    };
    auto exchange = client.send(endpoint, {"GET", "/x", {}, {}, {}}, {}, callbacks);
    BOOST_REQUIRE(test::waitFor([&] { return streams.size() == 1; }));
    writeOneEach();
    streams.clear();
    BOOST_REQUIRE(test::waitFor([&] { return finished; }));
    BOOST_CHECK(end == HttpExchangeEnd::Broken);
}

BOOST_FIXTURE_TEST_CASE(ReaderThatDoesNotReadIsReported, Fixture)
{
    // One caller that stops reading would otherwise make the daemon hold its whole answer.
    QTcpSocket reader;
    reader.setReadBufferSize(1);
    reader.connectToHost(QHostAddress::LocalHost, endpoint.port);
    reader.write("GET /slow HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_REQUIRE(test::waitFor([&] { return streams.size() == 1; }));
    const QByteArray block(256 * 1024, 'x');
    bool tooSlow = false;
    for (int i = 0; i < 200 && !tooSlow; ++i) {
        tooSlow = streams[0].responder->write(block) == HttpResponder::WriteResult::TooSlow;
        test::waitFor([] { return true; });
    }
    BOOST_TEST(tooSlow);
}

BOOST_FIXTURE_TEST_CASE(NobodyListeningMeansNoByteLeft, Fixture)
{
    HttpExchangeEnd end = HttpExchangeEnd::Complete;
    bool finished = false;
    server->stopListening();
    const auto exchange = client.fetch(endpoint, {"GET", "/", {}, {}, {}}, {},
                                       [&](HttpExchangeEnd how, const HttpResponse &) {
                                           end = how;
                                           finished = true;
                                       });
    BOOST_REQUIRE(test::waitFor([&] { return finished; }));
    BOOST_CHECK(end == HttpExchangeEnd::NotConnected);
}

// Guards against an exchange that keeps waiting after the server stops sending mid-response.
BOOST_FIXTURE_TEST_CASE(AnswerThatStallsTimesOut, Fixture)
{
    HttpExchangeOptions options;
    options.stallTimeout = std::chrono::milliseconds(100);
    HttpExchangeEnd end = HttpExchangeEnd::Complete;
    bool finished = false;
    const auto exchange = client.fetch(endpoint, {"GET", "/s", {}, {}, {}}, options,
                                       [&](HttpExchangeEnd how, const HttpResponse &) {
                                           end = how;
                                           finished = true;
                                       });
    BOOST_REQUIRE(test::waitFor([&] { return streams.size() == 1; }));
    streams[0].responder->write("part");
    BOOST_REQUIRE(test::waitFor([&] { return finished; }));
    BOOST_CHECK(end == HttpExchangeEnd::TimedOut);
}
