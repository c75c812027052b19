// One bad link between daemons leaves the others as they are.
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
            heard[from].append(body.value(NumberKey).toInteger());
        });
        good->subscribe(PeerMessageKind::Heartbeat, [this](const VmId &from, const QCborMap &body) {
            heardByGood += from == Hub && body.contains(NumberKey);
        });
    }

    static QCborMap numbered(qint64 number) { return {{NumberKey, number}}; }

    static QByteArray frame(qint64 number)
    {
        return encodePeerFrame({PeerMessageKind::Heartbeat, numbered(number)});
    }

    /// The good peer's messages go both ways.
    void checkGoodPeer()
    {
        const qsizetype before = heard[Good].size();
        const int beforeByGood = heardByGood;
        BOOST_TEST(good->send(Hub, PeerMessageKind::Heartbeat, numbered(1)));
        BOOST_TEST(hub->send(Good, PeerMessageKind::Heartbeat, numbered(2)));
        BOOST_TEST(test::waitFor(
            [&] { return heard[Good].size() > before && heardByGood > beforeByGood; }));
    }

    QtTimerService timers;
    std::unique_ptr<PeerLinks> hub;
    std::unique_ptr<PeerLinks> good;
    quint16 hubPort = 0;
    std::map<VmId, QList<qint64>> heard;
    int heardByGood = 0;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(PeerThatDoesNotReadHoldsUpNobody, Fixture)
{
    // A daemon hangs with its connections open. What others send it piles up at the sender up
    // to a bound, and messages to everyone else go out as before.
    QTcpServer silent;
    BOOST_REQUIRE(silent.listen(QHostAddress::LocalHost, 0));
    hub->setAddress(Bad, QHostAddress::LocalHost, silent.serverPort());
    const QByteArray block(64 * 1024, 'x');
    int taken = 0;
    constexpr int Tries = 100;
    for (int i = 0; i < Tries; ++i)
        taken += hub->send(Bad, PeerMessageKind::AttachData, {{NumberKey, block}});
    BOOST_TEST(taken < 10);
    checkGoodPeer();
    BOOST_TEST(!hub->send(Bad, PeerMessageKind::AttachData, {{NumberKey, block}}));
    checkGoodPeer();
}

BOOST_FIXTURE_TEST_CASE(ProvenPeerThatStopsReadingIsBounded, Fixture)
{
    // It answered the handshake, then stopped: kernel buffers fill, then the queue.
    PeerLinks bad(timers, Bad, Secret);
    const quint16 port = bad.listenOn(QHostAddress::LocalHost, 0).value();
    hub->setAddress(Bad, QHostAddress::LocalHost, port);
    BOOST_REQUIRE(hub->send(Bad, PeerMessageKind::Heartbeat, numbered(0)));
    BOOST_REQUIRE(test::waitFor([&] { return bad.authenticatedLinks() == 1; }));
    const QByteArray block(64 * 1024, 'x');
    qint64 taken = 0;
    // The event loop stands still, and with it the reader.
    for (int i = 0; i < 1000; ++i)
        taken += hub->send(Bad, PeerMessageKind::AttachData, {{NumberKey, block}}) ? 1 : 0;
    BOOST_TEST(taken * block.size() < 16 * 1024 * 1024);
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
    BOOST_REQUIRE(test::waitFor([&] { return heard[Bad].size() == 1; }));
    // A masked binary frame that announces 100 bytes and brings ten.
    bad.socket.write(QByteArray::fromHex("82e400000000") + QByteArray(10, '\xa0'));
    bad.socket.flush();
    bad.socket.abort();
    checkGoodPeer();
    BOOST_TEST(test::waitFor([&] { return hub->authenticatedLinks() == 2; }));
    BOOST_TEST(heard[Bad].size() == 1);
}

BOOST_FIXTURE_TEST_CASE(MessagesAreOfWhoProvedTheName, Fixture)
{
    // Two peers talk at once; what one says must never count as the other's word.
    RawPeer first(hubPort);
    RawPeer second(hubPort);
    BOOST_REQUIRE(first.prove(Secret, VmId(QStringLiteral("first")), Hub));
    BOOST_REQUIRE(second.prove(Secret, VmId(QStringLiteral("second")), Hub));
    constexpr int Count = 200;
    for (int i = 0; i < Count; ++i) {
        first.session.send(frame(2 * i));
        second.session.send(frame(2 * i + 1));
    }
    const auto total = [&] {
        return heard[VmId(QStringLiteral("first"))].size()
            + heard[VmId(QStringLiteral("second"))].size();
    };
    BOOST_REQUIRE(test::waitFor([&] { return total() == 2 * Count; }));
    for (int i = 0; i < Count; ++i) {
        BOOST_TEST(heard[VmId(QStringLiteral("first"))][i] == 2 * i);
        BOOST_TEST(heard[VmId(QStringLiteral("second"))][i] == 2 * i + 1);
    }
}

BOOST_FIXTURE_TEST_CASE(SecondLinkOfOneNameLeavesTheFirst, Fixture)
{
    // A VM was replaced under its name while the old one still lingers.
    RawPeer older(hubPort);
    BOOST_REQUIRE(older.prove(Secret, Bad, Hub));
    RawPeer newer(hubPort);
    BOOST_REQUIRE(newer.prove(Secret, Bad, Hub));
    newer.session.send(frame(2));
    older.session.send(frame(1));
    BOOST_TEST(test::waitFor([&] { return heard[Bad].size() == 2; }));
}
