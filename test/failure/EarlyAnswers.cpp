// Tests answers without a length that end while the request is still being written.
#define BOOST_TEST_MODULE EarlyAnswers
#include <boost/test/unit_test.hpp>

#include "http/HttpEndpoint.h"
#include "http/TcpStream.h"
#include "support/EventLoop.h"

#include <QTcpServer>
#include <QTcpSocket>

#include <optional>
#include <sys/socket.h>

using namespace cranberry;
using namespace cranberry::test;

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
