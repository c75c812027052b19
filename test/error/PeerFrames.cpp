// Strangers and broken peers get nothing from a daemon and cannot make it hold much.
#define BOOST_TEST_MODULE PeerFrames
#include <boost/test/unit_test.hpp>

#include "base/QtTimerService.h"
#include "base/TimerSubscription.h"
#include "peer/PeerLinks.h"
#include "support/EventLoop.h"
#include "support/RawPeer.h"

#include <QTcpSocket>

using namespace cranberry;
using test::RawPeer;

namespace {

const QByteArray Secret("fleet secret of the test");
const VmId Self(QStringLiteral("self"));
const VmId Stranger(QStringLiteral("stranger"));

/// The proof of a peer named Stranger to the listener Self. Precondition: the challenge arrived.
QByteArray strangerProof(const RawPeer &peer, const QByteArray &secret, const VmId &listener = Self)
{
    return peer.proof(secret, Stranger, listener);
}

struct Fixture {
    Fixture()
    {
        test::ensureApplication();
        PeerLinkLimits limits;
        limits.handshakeTimeout = Milliseconds(300);
        limits.maxFrameSize = Bytes(64 * 1024);
        limits.maxUnauthenticatedLinks = 4;
        links = std::make_unique<PeerLinks>(timers, Self, Secret, limits);
        links->subscribe(PeerMessageKind::Heartbeat,
                         [this](const VmId &, const QCborMap &) { ++handled; });
        port = links->listenOn(QHostAddress::LocalHost, 0).value();
    }

    std::unique_ptr<RawPeer> proven()
    {
        auto peer = std::make_unique<RawPeer>(port);
        BOOST_REQUIRE(peer->waitForMessages(1));
        peer->session.send(strangerProof(*peer, Secret));
        BOOST_REQUIRE(peer->waitForMessages(2));
        return peer;
    }

    QtTimerService timers;
    std::unique_ptr<PeerLinks> links;
    quint16 port = 0;
    int handled = 0;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(KnownSecretIsLetIn, Fixture)
{
    const auto peer = proven();
    peer->session.send(encodePeerFrame({PeerMessageKind::Heartbeat, {}}));
    BOOST_TEST(test::waitFor([&] { return handled == 1; }));
}

BOOST_FIXTURE_TEST_CASE(WrongSecretGetsOnlyTheChallenge, Fixture)
{
    RawPeer peer(port);
    BOOST_REQUIRE(peer.waitForMessages(1));
    peer.session.send(strangerProof(peer, "wrong"));
    peer.session.send(encodePeerFrame({PeerMessageKind::Heartbeat, {}}));
    BOOST_REQUIRE(peer.waitForClose());
    BOOST_TEST(peer.messages.size() == 1);
    BOOST_TEST(handled == 0);
}

BOOST_FIXTURE_TEST_CASE(FrameBeforeTheProofIsNotRead, Fixture)
{
    RawPeer peer(port);
    BOOST_REQUIRE(peer.waitForMessages(1));
    peer.session.send(encodePeerFrame({PeerMessageKind::Heartbeat, {}}));
    BOOST_REQUIRE(peer.waitForClose());
    BOOST_TEST(handled == 0);
}

BOOST_FIXTURE_TEST_CASE(ReplayedProofIsRejected, Fixture)
{
    // A listener on the network records a proof and sends it again on a link of its own.
    RawPeer first(port);
    BOOST_REQUIRE(first.waitForMessages(1));
    const QByteArray recorded = strangerProof(first, Secret);
    first.session.send(recorded);
    BOOST_REQUIRE(first.waitForMessages(2));
    RawPeer second(port);
    BOOST_REQUIRE(second.waitForMessages(1));
    second.session.send(recorded);
    BOOST_REQUIRE(second.waitForClose());
    BOOST_TEST(second.messages.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(ListenersProofCannotBeSentBack, Fixture)
{
    const ProofSubject subject{makeProofNonce(), makeProofNonce(), Stranger, Self};
    BOOST_TEST(!constantTimeEqual(computePeerProof(Secret, ProofDirection::FromDialler, subject),
                                  computePeerProof(Secret, ProofDirection::FromListener, subject)));
}

BOOST_FIXTURE_TEST_CASE(ProofForAnotherVmIsRejected, Fixture)
{
    // A VM's address went to another VM: whoever still dials it must not be taken for a peer.
    RawPeer peer(port);
    BOOST_REQUIRE(peer.waitForMessages(1));
    peer.session.send(strangerProof(peer, Secret, VmId(QStringLiteral("other"))));
    BOOST_REQUIRE(peer.waitForClose());
    BOOST_TEST(peer.messages.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(ListenerWithoutTheSecretGetsNoMessage, Fixture)
{
    int strangerHandled = 0;
    PeerLinks stranger(timers, Stranger, "wrong");
    stranger.subscribe(PeerMessageKind::Heartbeat,
                       [&](const VmId &, const QCborMap &) { ++strangerHandled; });
    const quint16 strangerPort = stranger.listenOn(QHostAddress::LocalHost, 0).value();
    bool lost = false;
    links->onLinkLost([&](const VmId &) { lost = true; });
    links->setAddress(Stranger, QHostAddress::LocalHost, strangerPort);
    links->send(Stranger, PeerMessageKind::Heartbeat, {});
    BOOST_REQUIRE(test::waitFor([&] { return lost; }));
    BOOST_TEST(strangerHandled == 0);
}

BOOST_FIXTURE_TEST_CASE(MalformedFrameClosesTheLink, Fixture)
{
    const QList<QByteArray> malformed{"",
                                      "garbage",
                                      QByteArray::fromHex("82"),
                                      QByteArray::fromHex("821863a0"),
                                      QByteArray::fromHex("8201a0ff"),
                                      QByteArray::fromHex("820100")};
    for (const QByteArray &frame : malformed) {
        const auto peer = proven();
        peer->session.send(frame);
        BOOST_TEST(peer->waitForClose());
    }
    BOOST_TEST(handled == 0);
}

BOOST_FIXTURE_TEST_CASE(OversizedFrameClosesTheLink, Fixture)
{
    const auto peer = proven();
    peer->session.send(
        encodePeerFrame({PeerMessageKind::Heartbeat, {{1, QByteArray(128 * 1024, 'x')}}}));
    BOOST_TEST(peer->waitForClose());
    BOOST_TEST(handled == 0);
}

BOOST_FIXTURE_TEST_CASE(OversizedFrameBeforeTheProofClosesTheLink, Fixture)
{
    RawPeer peer(port);
    BOOST_REQUIRE(peer.waitForMessages(1));
    peer.session.send(QByteArray(2000, 'x'));
    BOOST_TEST(peer.waitForClose());
}

BOOST_FIXTURE_TEST_CASE(GarbageInPlaceOfHttpClosesTheLink, Fixture)
{
    QTcpSocket socket;
    socket.connectToHost(QHostAddress::LocalHost, port);
    socket.write(QByteArray(20'000, '\x01'));
    BOOST_TEST(test::waitFor([&] { return socket.state() == QTcpSocket::UnconnectedState; }));
}

BOOST_FIXTURE_TEST_CASE(HandshakeThatStopsHalfwayIsClosed, Fixture)
{
    RawPeer peer(port);
    BOOST_REQUIRE(peer.waitForMessages(1));
    BOOST_TEST(peer.waitForClose());
    BOOST_TEST(links->unauthenticatedIncomingLinks() == 0);
}

BOOST_FIXTURE_TEST_CASE(SilentStrangersDoNotKeepDaemonsOut, Fixture)
{
    std::vector<std::unique_ptr<QTcpSocket>> silent;
    for (int i = 0; i < 20; ++i) {
        silent.push_back(std::make_unique<QTcpSocket>());
        silent.back()->connectToHost(QHostAddress::LocalHost, port);
    }
    const auto peer = proven();
    BOOST_TEST(links->authenticatedLinks() == 1);
    BOOST_TEST(links->unauthenticatedIncomingLinks() <= 4);
}
