// Tests that one faulty link between daemons does not affect the others.
#define BOOST_TEST_MODULE PeerIsolation
#include <boost/test/unit_test.hpp>

#include "base/QtTimerService.h"
#include "peer/PeerLinks.h"
#include "support/EventLoop.h"
#include "support/RawPeer.h"

#include <map>

using namespace cranberry;
using test::RawPeer;

namespace {

const QByteArray Secret("fleet secret of the test");
const VmId Hub(QStringLiteral("hub"));
const VmId Good(QStringLiteral("good"));
const VmId Bad(QStringLiteral("bad"));
constexpr int NumberKey = 1;

struct Fixture {
    Fixture()
    {
        test::ensureApplication();
        PeerLinkLimits limits;
        limits.maxSendQueueBytes = Bytes(512 * 1024);
        hub = std::make_unique<PeerLinks>(timers, Hub, Secret, limits);
        good = std::make_unique<PeerLinks>(timers, Good, Secret);
        hubPort = hub->listenOn(QHostAddress::LocalHost, 0).value();
        const quint16 goodPort = good->listenOn(QHostAddress::LocalHost, 0).value();
        hub->setAddress(Good, QHostAddress::LocalHost, goodPort);
        good->setAddress(Hub, QHostAddress::LocalHost, hubPort);
        hub->subscribe(PeerMessageKind::Heartbeat, [this](const VmId &from, const QCborMap &body) {
            received[from].append(body.value(NumberKey).toInteger());
        });
        good->subscribe(PeerMessageKind::Heartbeat, [this](const VmId &from, const QCborMap &body) {
            receivedByGood += from == Hub && body.contains(NumberKey);
        });
    }

    static QCborMap numbered(qint64 number) { return {{NumberKey, number}}; }

    static QByteArray frame(qint64 number)
    {
        return encodePeerFrame({PeerMessageKind::Heartbeat, numbered(number)});
    }

    /// Checks that messages to and from the good peer arrive.
    void checkGoodPeer()
    {
        const qsizetype receivedBefore = received[Good].size();
        const int receivedByGoodBefore = receivedByGood;
        BOOST_TEST(good->send(Hub, PeerMessageKind::Heartbeat, numbered(1)));
        BOOST_TEST(hub->send(Good, PeerMessageKind::Heartbeat, numbered(2)));
        BOOST_TEST(test::waitFor([&] {
            return received[Good].size() > receivedBefore && receivedByGood > receivedByGoodBefore;
        }));
    }

    QtTimerService timers;
    std::unique_ptr<PeerLinks> hub;
    std::unique_ptr<PeerLinks> good;
    quint16 hubPort = 0;
    std::map<VmId, QList<qint64>> received;
    int receivedByGood = 0;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(PeerThatDoesNotReadHoldsUpNobody, Fixture)
{
    // Guards against a hanging daemon that blocks others: its connections stay open. Messages to it
    // queue at the sender up to a bound, and messages to other daemons are sent as before.
    QTcpServer silentServer;
    BOOST_REQUIRE(silentServer.listen(QHostAddress::LocalHost, 0));
    hub->setAddress(Bad, QHostAddress::LocalHost, silentServer.serverPort());
    const QByteArray block(64 * 1024, 'x');
    int accepted = 0;
    constexpr int Attempts = 100;
    for (int i = 0; i < Attempts; ++i)
        accepted += hub->send(Bad, PeerMessageKind::AttachData, {{NumberKey, block}});
    BOOST_TEST(accepted < 10);
    checkGoodPeer();
    BOOST_TEST(!hub->send(Bad, PeerMessageKind::AttachData, {{NumberKey, block}}));
    checkGoodPeer();
}

BOOST_FIXTURE_TEST_CASE(ProvenPeerThatStopsReadingIsBounded, Fixture)
{
    // The peer completes the handshake and then stops reading: the kernel buffers fill, then the
    // send queue.
    PeerLinks bad(timers, Bad, Secret);
    const quint16 port = bad.listenOn(QHostAddress::LocalHost, 0).value();
    hub->setAddress(Bad, QHostAddress::LocalHost, port);
    BOOST_REQUIRE(hub->send(Bad, PeerMessageKind::Heartbeat, numbered(0)));
    BOOST_REQUIRE(test::waitFor([&] { return bad.authenticatedLinks() == 1; }));
    const QByteArray block(64 * 1024, 'x');
    qint64 accepted = 0;
    // The event loop does not run, and neither does the reader.
    for (int i = 0; i < 1000; ++i)
        accepted += hub->send(Bad, PeerMessageKind::AttachData, {{NumberKey, block}}) ? 1 : 0;
    BOOST_TEST(accepted * block.size() < 16 * 1024 * 1024);
    checkGoodPeer();
}

BOOST_FIXTURE_TEST_CASE(GarbageOnOneLinkClosesThatOneOnly, Fixture)
{
    checkGoodPeer();
    RawPeer bad(hubPort);
    BOOST_REQUIRE(bad.prove(Secret, Bad, Hub));
    bad.session.send("garbage");
    BOOST_REQUIRE(bad.waitForClose());
    checkGoodPeer();
    BOOST_TEST(hub->authenticatedLinks() == 2);
}

BOOST_FIXTURE_TEST_CASE(HalfAFrameIsNeverHandedOver, Fixture)
{
    // The connection breaks in the middle of a frame.
    RawPeer bad(hubPort);
    BOOST_REQUIRE(bad.prove(Secret, Bad, Hub));
    bad.session.send(frame(1));
    BOOST_REQUIRE(test::waitFor([&] { return received[Bad].size() == 1; }));
    // A masked binary frame that announces 100 bytes and contains ten.
    bad.socket.write(QByteArray::fromHex("82e400000000") + QByteArray(10, '\xa0'));
    bad.socket.flush();
    bad.socket.abort();
    checkGoodPeer();
    BOOST_TEST(test::waitFor([&] { return hub->authenticatedLinks() == 2; }));
    BOOST_TEST(received[Bad].size() == 1);
}

BOOST_FIXTURE_TEST_CASE(MessagesAreOfWhoProvedTheName, Fixture)
{
    // Two peers send at the same time; a message of one must never be attributed to the other.
    RawPeer first(hubPort);
    RawPeer second(hubPort);
    BOOST_REQUIRE(first.prove(Secret, VmId(QStringLiteral("first")), Hub));
    BOOST_REQUIRE(second.prove(Secret, VmId(QStringLiteral("second")), Hub));
    constexpr int MessagesPerPeer = 200;
    for (int i = 0; i < MessagesPerPeer; ++i) {
        first.session.send(frame(2 * i));
        second.session.send(frame(2 * i + 1));
    }
    const auto total = [&] {
        return received[VmId(QStringLiteral("first"))].size()
            + received[VmId(QStringLiteral("second"))].size();
    };
    BOOST_REQUIRE(test::waitFor([&] { return total() == 2 * MessagesPerPeer; }));
    for (int i = 0; i < MessagesPerPeer; ++i) {
        BOOST_TEST(received[VmId(QStringLiteral("first"))][i] == 2 * i);
        BOOST_TEST(received[VmId(QStringLiteral("second"))][i] == 2 * i + 1);
    }
}

BOOST_FIXTURE_TEST_CASE(SecondLinkOfOneNameLeavesTheFirst, Fixture)
{
    // A VM was replaced under its name while the old process still runs.
    RawPeer older(hubPort);
    BOOST_REQUIRE(older.prove(Secret, Bad, Hub));
    RawPeer newer(hubPort);
    BOOST_REQUIRE(newer.prove(Secret, Bad, Hub));
    newer.session.send(frame(2));
    older.session.send(frame(1));
    BOOST_TEST(test::waitFor([&] { return received[Bad].size() == 2; }));
}
