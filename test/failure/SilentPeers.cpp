// Tests which silent peers of a TCP connection count as dead.
#define BOOST_TEST_MODULE SilentPeers
#include <boost/test/unit_test.hpp>

#include "http/HttpEndpoint.h"
#include "http/TcpStream.h"
#include "support/EventLoop.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>

using namespace cranberry;

namespace {

/// Bytes that fill the buffers of both ends.
constexpr int WindowBytes = 16 * 1024 * 1024;
/// A live peer may be silent for a second or so.
constexpr std::chrono::milliseconds SilentSecond{1500};

/// A stream to a peer whose packets can be lost, as if it had no power.
struct Fixture {
    Fixture()
    {
        test::ensureApplication();
        const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        BOOST_REQUIRE(::bind(listener, reinterpret_cast<sockaddr *>(&address), size) == 0);
        BOOST_REQUIRE(::listen(listener, 1) == 0);
        BOOST_REQUIRE(::getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size) == 0);
        stream = TcpStream::connectTo({QStringLiteral("127.0.0.1"), ntohs(address.sin_port)});
        TcpStreamCallbacks callbacks;
        callbacks.connected = [this] { isConnected = true; };
        callbacks.received = [this](const QByteArray &data) { received += data; };
        callbacks.ended = [this](TcpEnd how) { end = how; };
        stream->setCallbacks(std::move(callbacks));
        BOOST_REQUIRE(test::waitFor([this] { return isConnected; }));
        peer = ::accept(listener, nullptr, nullptr);
        ::close(listener);
        BOOST_REQUIRE(peer >= 0);
    }

    ~Fixture() { ::close(peer); }

    /// All packets to the peer are lost.
    void losePackets()
    {
        sock_filter drop[] = {{BPF_RET | BPF_K, 0, 0, 0}};
        const sock_fprog program{1, drop};
        BOOST_REQUIRE(::setsockopt(peer, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program))
                      == 0);
    }

    void deliverPackets()
    {
        const int unused = 0;
        BOOST_REQUIRE(::setsockopt(peer, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused))
                      == 0);
    }

    void wait(std::chrono::milliseconds time)
    {
        const auto until = std::chrono::steady_clock::now() + time;
        test::waitFor([&] { return std::chrono::steady_clock::now() > until; });
    }

    qint64 readAll()
    {
        char buffer[65536];
        qint64 total = 0;
        for (ssize_t count = 0; (count = ::recv(peer, buffer, sizeof(buffer), MSG_DONTWAIT)) > 0;)
            total += count;
        return total;
    }

    std::unique_ptr<TcpStream> stream;
    int peer = -1;
    bool isConnected = false;
    QByteArray received;
    std::optional<TcpEnd> end;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(AnIdleDeadPeerIsFound, Fixture)
{
    losePackets();
    BOOST_TEST(test::waitFor([this] { return end.has_value(); }, 2 * TcpStream::PeerTimeout));
}

BOOST_FIXTURE_TEST_CASE(ADeadPeerThatOwesAnAcknowledgementIsFound, Fixture)
{
    losePackets();
    stream->write("request");
    BOOST_TEST(test::waitFor([this] { return end.has_value(); }, 2 * TcpStream::PeerTimeout));
}

BOOST_FIXTURE_TEST_CASE(ADeadPeerWithAFullWindowIsFound, Fixture)
{
    stream->write(QByteArray(WindowBytes, 'x'));
    wait(std::chrono::milliseconds(500));
    losePackets();
    BOOST_TEST(test::waitFor([this] { return end.has_value(); }, 4 * TcpStream::PeerTimeout));
}

BOOST_FIXTURE_TEST_CASE(APeerThatIsSilentForASecondGoesOn, Fixture)
{
    stream->write("request");
    losePackets();
    wait(SilentSecond);
    deliverPackets();
    BOOST_REQUIRE(::send(peer, "answer", 6, 0) == 6);
    BOOST_TEST(test::waitFor([this] { return received == "answer"; }));
    BOOST_TEST(!end.has_value());
}

BOOST_FIXTURE_TEST_CASE(ALivePeerThatDoesNotReadForAWhileIsNotDead, Fixture)
{
    // Guards against a slow reader being cut off by the time limit for dead peers.
    stream->write(QByteArray(WindowBytes, 'x'));
    wait(2 * TcpStream::PeerTimeout);
    BOOST_TEST(!end.has_value());
    qint64 total = 0;
    test::waitFor([&] {
        total += readAll();
        return total == WindowBytes || end.has_value();
    });
    BOOST_TEST(total == WindowBytes);
}
