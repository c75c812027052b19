// Tests callers that send a request or read a response byte by byte.
#define BOOST_TEST_MODULE SlowCallers
#include <boost/test/unit_test.hpp>

#include "base/QtTimerService.h"
#include "base/TimerSubscription.h"
#include "http/CallerReply.h"
#include "http/HttpListener.h"
#include "http/HttpRequest.h"
#include "http/HttpResponse.h"
#include "support/EventLoop.h"

#include <QTcpSocket>

using namespace cranberry;

namespace {

constexpr Milliseconds Timeout{500};
constexpr Milliseconds ByteInterval{20};
/// More than the system buffers.
constexpr int ResponseBytes = 32 * 1024 * 1024;

struct Fixture {
    Fixture()
        : listener(
            timers,
            [](const HttpRequest &, const std::shared_ptr<CallerReply> &reply) {
                reply->send({200, {}, QByteArray(ResponseBytes, 'a')});
            },
            [](ErrorKind kind) {
                return HttpResponse{errorAnswer(kind).httpStatus, {}, {}};
            })
    {
        test::ensureApplication();
        listener.setTimeouts(Timeout, Timeout);
        port = listener.listenOn({QStringLiteral("127.0.0.1"), 0}).value();
        socket.connectToHost(QHostAddress::LocalHost, port);
    }

    struct Application {
        Application() { test::ensureApplication(); }
    } application;
    QtTimerService timers;
    HttpListener listener;
    quint16 port = 0;
    QTcpSocket socket;
};

} // namespace

// Guards against a body that comes byte by byte and renews the time between two reads each time.
BOOST_FIXTURE_TEST_CASE(ABodyThatComesByteByByteIsRejected, Fixture)
{
    socket.write("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000\r\n\r\n");
    const auto writing = timers.every(ByteInterval, [this] { socket.write("b"); });
    QByteArray answer;
    BOOST_TEST(test::waitFor([&] {
        answer += socket.readAll();
        return answer.contains("\r\n\r\n");
    }));
    BOOST_TEST(answer.startsWith("HTTP/1.1 408"));
}

// Guards against a response that is read byte by byte and kept without end.
BOOST_FIXTURE_TEST_CASE(AResponseThatIsReadByteByByteIsDropped, Fixture)
{
    socket.setReadBufferSize(1024);
    socket.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    BOOST_TEST(test::waitFor([&] { return listener.openConnections() == 1; }));
    const auto reading = timers.every(ByteInterval, [this] { socket.read(1); });
    BOOST_TEST(test::waitFor([&] { return listener.openConnections() == 0; }));
}
