// Tests that no bytes make a connection hold more than its limits allow.
#define BOOST_TEST_MODULE RequestBytes
#include <boost/test/unit_test.hpp>

#include "base/QtTimerService.h"
#include "http/CallerReply.h"
#include "http/HttpListener.h"
#include "http/HttpRequest.h"
#include "http/HttpResponse.h"
#include "http/RequestFraming.h"
#include "support/EventLoop.h"

#include <QCoreApplication>
#include <QTcpSocket>

#include <random>

using namespace cranberry;

namespace {

constexpr int Seeds = 600;
constexpr int Fragments = 120;
constexpr qint64 MaxHeaders = 2000;
constexpr qint64 MaxBody = 10'000;
/// Pipelined bytes and those of one read; fields of four bytes cost some 50 times their size.
constexpr qint64 MaxHeld = 128 * 1024 + MaxHeaders * 60 + 2 * MaxBody;

QByteArray fragment(std::mt19937 &random)
{
    static const QList<QByteArray> texts{
        "GET /a HTTP/1.1\r\nHost: x\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 20000\r\n\r\n",
        "POST /a HTTP/1.1\r\n",
        "5\r\nhello\r\n",
        "1\r\nx\r\n",
        "1;extension=",
        "0\r\n",
        "0\r\n\r\n",
        "\r\n",
        "\r\n\r\n",
        "a:\r\n",
        "X-Filler: " + QByteArray(300, 'x') + "\r\n",
        "0000000000000001\r\nx\r\n",
    };
    const int kind = int(random() % 10);
    if (kind == 0)
        return QByteArray(int(random() % 5000), char(random() % 256));
    const QByteArray &text = texts[int(random() % unsigned(texts.size()))];
    return kind < 3 ? text.repeated(1 + int(random() % 400)) : text;
}

} // namespace

BOOST_AUTO_TEST_CASE(AnyBytesInAnyPiecesStayInBounds)
{
    test::ensureApplication();
    QtTimerService timers;
    CallerMemory memory;
    HttpListener listener(
        timers,
        [](const HttpRequest &, const std::shared_ptr<CallerReply> &reply) {
            reply->send({200, {}, "ok"});
        },
        [](ErrorKind) {
            return HttpResponse{400, {}, {}};
        });
    listener.setMemory(memory);
    listener.setLimits(
        {Bytes(MaxHeaders), Bytes(MaxBody), Milliseconds(30'000), Milliseconds(30'000)});
    const quint16 port = listener.listenOn({QStringLiteral("127.0.0.1"), 0}).value();
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        std::mt19937 random(seed);
        QTcpSocket socket;
        socket.connectToHost(QHostAddress::LocalHost, port);
        BOOST_REQUIRE(socket.waitForConnected());
        qint64 mostHeld = 0;
        for (int i = 0; i < Fragments && socket.state() == QAbstractSocket::ConnectedState; ++i) {
            socket.write(fragment(random));
            socket.flush();
            QCoreApplication::processEvents();
            mostHeld = std::max(mostHeld, memory.held().value());
            socket.readAll();
        }
        BOOST_TEST(mostHeld <= MaxHeld, "seed " << seed << " held " << mostHeld);
        socket.abort();
        BOOST_TEST(test::waitFor([&] { return listener.openConnections() == 0; }));
        BOOST_TEST(memory.held().value() == 0, "seed " << seed);
    }
}

// Guards against requests whose framing is without end.
BOOST_AUTO_TEST_CASE(FramingIsInProportionToTheBody)
{
    const Bytes headers(1000);
    BOOST_TEST(!isFramingTooLarge({Bytes(1000), Bytes(0), Bytes(0)}, headers));
    BOOST_TEST(isFramingTooLarge({Bytes(1001), Bytes(0), Bytes(0)}, headers));
    // Chunks of one byte.
    BOOST_TEST(!isFramingTooLarge({Bytes(0), Bytes(60'000), Bytes(10'000)}, headers));
    // Chunks of one byte with extensions.
    BOOST_TEST(isFramingTooLarge({Bytes(0), Bytes(1'000'000), Bytes(10'000)}, headers));
}
