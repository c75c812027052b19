// Links between daemons: messages arrive whole, in order, from whom they say; links come back.
#define BOOST_TEST_MODULE PeerLinks
#include <boost/test/unit_test.hpp>

#include "base/QtTimerService.h"
#include "base/TimerSubscription.h"
#include "peer/PeerLinks.h"
#include "support/EventLoop.h"

#include <QStringList>

using namespace cranberry;

namespace {

const QByteArray Secret("fleet secret of the test");
constexpr int NumberKey = 1;

VmId vm(const QString &name)
{
    return VmId(name);
}

struct Daemon {
    Daemon(TimerService &timers, const QString &name, PeerLinkLimits limits = PeerLinkLimits())
        : timerService(timers)
    {
        start(name, 0, limits);
    }

    void start(const QString &name, quint16 wantedPort, PeerLinkLimits limits = PeerLinkLimits())
    {
        links = std::make_unique<PeerLinks>(timerService, vm(name), Secret, limits);
        port = links->listenOn(QHostAddress::LocalHost, wantedPort).value();
        links->subscribe(PeerMessageKind::Heartbeat,
                         [this](const VmId &from, const QCborMap &body) {
                             senders.append(from.text());
                             numbers.append(body.value(NumberKey).toInteger());
                         });
    }

    void knows(const QString &name, const Daemon &other)
    {
        links->setAddress(vm(name), QHostAddress::LocalHost, other.port);
    }

    bool send(const QString &to, qint64 number)
    {
        return links->send(vm(to), PeerMessageKind::Heartbeat, {{NumberKey, number}});
    }

    TimerService &timerService;
    std::unique_ptr<PeerLinks> links;
    quint16 port = 0;
    QStringList senders;
    QList<qint64> numbers;
};

struct Fixture {
    Fixture()
    {
        test::ensureApplication();
        a = std::make_unique<Daemon>(timers, QStringLiteral("a"));
        b = std::make_unique<Daemon>(timers, QStringLiteral("b"));
        a->knows(QStringLiteral("b"), *b);
        b->knows(QStringLiteral("a"), *a);
    }

    QtTimerService timers;
    std::unique_ptr<Daemon> a;
    std::unique_ptr<Daemon> b;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(MessagesArriveInOrderBothWays, Fixture)
{
    constexpr int Count = 500;
    for (int i = 0; i < Count; ++i) {
        BOOST_REQUIRE(a->send(QStringLiteral("b"), i));
        BOOST_REQUIRE(b->send(QStringLiteral("a"), Count + i));
    }
    BOOST_REQUIRE(
        test::waitFor([&] { return b->numbers.size() == Count && a->numbers.size() == Count; }));
    for (int i = 0; i < Count; ++i) {
        BOOST_TEST(b->numbers[i] == i);
        BOOST_TEST(a->numbers[i] == Count + i);
    }
    BOOST_TEST(b->senders.count(QStringLiteral("a")) == Count);
    BOOST_TEST(a->links->traffic().bytesOut == b->links->traffic().bytesIn);
    BOOST_TEST(a->links->traffic().bytesIn == b->links->traffic().bytesOut);
}

BOOST_FIXTURE_TEST_CASE(LargeMessageArrivesWhole, Fixture)
{
    const QByteArray large(900 * 1024, 'x');
    QByteArray arrived;
    b->links->subscribe(PeerMessageKind::AttachData, [&](const VmId &, const QCborMap &body) {
        arrived = body.value(NumberKey).toByteArray();
    });
    BOOST_REQUIRE(
        a->links->send(vm(QStringLiteral("b")), PeerMessageKind::AttachData, {{NumberKey, large}}));
    BOOST_REQUIRE(test::waitFor([&] { return !arrived.isEmpty(); }));
    BOOST_TEST((arrived == large));
}

BOOST_FIXTURE_TEST_CASE(UnknownPeerIsRefused, Fixture)
{
    BOOST_TEST(!a->send(QStringLiteral("nobody"), 1));
}

BOOST_FIXTURE_TEST_CASE(LinkComesBackAfterTheListenerRestarted, Fixture)
{
    a->send(QStringLiteral("b"), 1);
    BOOST_REQUIRE(test::waitFor([&] { return b->numbers.size() == 1; }));
    const quint16 port = b->port;
    b->links.reset();
    b->start(QStringLiteral("b"), port);
    const auto resend = timers.every(Milliseconds(20), [this] { a->send(QStringLiteral("b"), 2); });
    BOOST_TEST(test::waitFor([&] { return b->numbers.contains(2); }));
}

BOOST_FIXTURE_TEST_CASE(QueueToAPeerThatCannotBeReachedIsBounded, Fixture)
{
    PeerLinkLimits limits;
    limits.maxSendQueueBytes = Bytes(10'000);
    Daemon small(timers, QStringLiteral("c"), limits);
    // The event loop does not run meanwhile, so the connection stays in the making.
    small.knows(QStringLiteral("b"), *b);
    int taken = 0;
    while (small.send(QStringLiteral("b"), taken) && taken < 10'000)
        ++taken;
    BOOST_TEST(taken < 10'000);
}

BOOST_FIXTURE_TEST_CASE(IdleLinkIsClosedWithoutAlarm, Fixture)
{
    PeerLinkLimits limits;
    limits.idleTimeout = Milliseconds(50);
    Daemon brief(timers, QStringLiteral("c"), limits);
    brief.knows(QStringLiteral("b"), *b);
    int lost = 0;
    b->links->onLinkLost([&](const VmId &) { ++lost; });
    brief.send(QStringLiteral("b"), 7);
    BOOST_REQUIRE(test::waitFor([&] { return b->links->authenticatedLinks() == 1; }));
    BOOST_REQUIRE(test::waitFor([&] { return b->links->authenticatedLinks() == 0; }));
    BOOST_TEST(lost == 0);
    BOOST_TEST(b->numbers.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(PeerThatCannotBeReachedIsReported, Fixture)
{
    VmId lost;
    a->links->onLinkLost([&](const VmId &peer) { lost = peer; });
    b->links.reset();
    a->send(QStringLiteral("b"), 1);
    BOOST_REQUIRE(test::waitFor([&] { return !lost.isEmpty(); }));
    BOOST_TEST(lost.text().toStdString() == "b");
    BOOST_TEST(!a->send(QStringLiteral("b"), 1));
}
