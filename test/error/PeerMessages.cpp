// Random and damaged messages between daemons are refused and never crash one.
#define BOOST_TEST_MODULE PeerMessages
#include <boost/test/unit_test.hpp>

#include "membership/MemberEntry.h"
#include "membership/MembershipRules.h"
#include "peer/PeerFrame.h"
#include "peer/PeerProof.h"
#include "quarantine/Quarantine.h"
#include "quarantine/QuarantineNews.h"

#include <QCborArray>

#include <limits>
#include <random>

using namespace cranberry;

namespace {

constexpr unsigned Seed = 20;
constexpr int Rounds = 20'000;
const MonotonicTime Start(std::chrono::hours(1));

class Generator
{
public:
    int below(int bound) { return int(m_random() % unsigned(bound)); }

    QByteArray bytes(int longest)
    {
        QByteArray result(below(longest + 1), Qt::Uninitialized);
        for (char &byte : result)
            byte = char(below(256));
        return result;
    }

    qint64 number()
    {
        switch (below(5)) {
        case 0:
            return below(16);
        case 1:
            return std::numeric_limits<qint64>::max() - below(3);
        case 2:
            return std::numeric_limits<qint64>::min() + below(3);
        case 3:
            return MaxIncarnation.value() + below(3) - 1;
        default:
            return qint64(m_random());
        }
    }

    QCborValue value(int depth)
    {
        switch (below(depth > 0 ? 9 : 7)) {
        case 0:
            return number();
        case 1:
            return bytes(40);
        case 2:
            return QString::fromLatin1(bytes(300));
        case 3:
            return below(2) == 0;
        case 4:
            return QCborValue(double(number()));
        case 5:
            return QCborValue(QCborValue::Null);
        case 6:
            return QCborValue();
        case 7:
            return array(depth - 1);
        default:
            return map(depth - 1);
        }
    }

    QCborArray array(int depth)
    {
        QCborArray result;
        const int size = below(9);
        for (int i = 0; i < size; ++i)
            result.append(value(depth));
        return result;
    }

    /// Keys are those that messages use, so that values reach the checks behind them.
    QCborMap map(int depth)
    {
        QCborMap result;
        const int size = below(9);
        for (int i = 0; i < size; ++i)
            result.insert(below(9), value(depth));
        return result;
    }

    /// @p bytes with a few bits turned, bytes cut, or parts doubled.
    QByteArray damaged(QByteArray bytes)
    {
        const int times = 1 + below(4);
        for (int i = 0; i < times && !bytes.isEmpty(); ++i) {
            const int at = below(int(bytes.size()));
            switch (below(3)) {
            case 0:
                bytes[at] = char(bytes[at] ^ (1 << below(8)));
                break;
            case 1:
                bytes.truncate(at);
                break;
            default:
                bytes.insert(at, bytes.mid(at, 1 + below(8)));
            }
        }
        return bytes;
    }

private:
    std::mt19937 m_random{Seed};
};

Member member(int i)
{
    Member result;
    result.vm = VmId(QStringLiteral("vm%1").arg(i));
    result.dataCentre = DataCentreId(QStringLiteral("dc"));
    result.address = QStringLiteral("127.0.0.1");
    result.peerPort = 9;
    result.incarnation = Incarnation(100 + i);
    return result;
}

HeartbeatMessage fullHeartbeat(Generator &generator)
{
    HeartbeatMessage message;
    message.incarnation = Incarnation(100 + generator.below(3));
    message.configurationVersion = ConfigurationVersion(generator.below(5));
    message.nextInterval = Milliseconds(generator.below(2000));
    for (int i = 0; i < 4; ++i) {
        Member one = member(generator.below(6));
        one.state = MemberState(generator.below(4));
        one.incarnation = Incarnation(99 + generator.below(8));
        message.members.append(one);
    }
    message.broadcasts.append({PeerMessageKind::TargetLeaving, VmId(QStringLiteral("vm2")),
                               1 + generator.below(1000), generator.map(1)});
    message.credits = generator.map(1);
    return message;
}

/// Hands @p body to whatever takes such a body from another daemon.
struct Receiver {
    Receiver()
    {
        MembershipSettings settings;
        settings.maxMembers = 50;
        state = makeMembershipState(member(0), settings, Start);
        applyListedMembers(state, {member(1), member(2)}, Start);
    }

    void take(const QCborMap &body, Generator &generator)
    {
        now += Milliseconds(generator.below(400));
        const VmId from(QStringLiteral("vm%1").arg(1 + generator.below(80)));
        if (const auto heartbeat = heartbeatFromCbor(body)) {
            onHeartbeat(state, from, *heartbeat, 100, now);
            ++accepted;
        }
        if (const auto probe = probeFromCbor(body))
            onProbe(state, from, *probe, now);
        if (const auto answer = probeAnswerFromCbor(body))
            onProbeAnswer(state, from, *answer, now);
        quarantine.handleNews(body, now);
        onTick(state, now, quint64(generator.number()));
        withinBounds = withinBounds && state.others.size() <= state.settings.maxMembers
            && state.gossip.items.size() <= state.settings.maxGossipItems
            && Incarnation() < state.self.incarnation;
    }

    MembershipState state;
    Quarantine quarantine;
    MonotonicTime now = Start;
    int accepted = 0;
    bool withinBounds = true;
};

} // namespace

BOOST_AUTO_TEST_CASE(RandomBytesAreNoFrame)
{
    Generator generator;
    int taken = 0;
    for (int i = 0; i < Rounds; ++i) {
        const QByteArray bytes = generator.bytes(200);
        taken += decodePeerFrame(bytes).has_value();
        taken += decodeDiallerProof(bytes).has_value();
    }
    BOOST_TEST(taken == 0);
}

BOOST_AUTO_TEST_CASE(DeeplyNestedFrameIsRefused)
{
    // Each byte opens one more array: a decoder that calls itself would exhaust its stack.
    BOOST_TEST(!decodePeerFrame(QByteArray(1024 * 1024, '\x81')).has_value());
    BOOST_TEST(
        !decodePeerFrame(QByteArray::fromHex("8201") + QByteArray(500'000, '\x81')).has_value());
}

BOOST_AUTO_TEST_CASE(FrameThatAnnouncesMoreThanItBringsIsRefused)
{
    // A map, an array, a text and a byte string of 2^60 elements.
    for (const char *header : {"8201bb1000000000000000", "9b1000000000000000",
                               "82017b1000000000000000", "82015b1000000000000000"})
        BOOST_TEST(!decodePeerFrame(QByteArray::fromHex(header)).has_value());
}

BOOST_AUTO_TEST_CASE(RandomBodiesNeverCrashADaemon)
{
    Generator generator;
    Receiver receiver;
    for (int i = 0; i < Rounds; ++i)
        receiver.take(generator.map(3), generator);
    BOOST_TEST(receiver.withinBounds);
}

BOOST_AUTO_TEST_CASE(DamagedMessagesNeverCrashADaemon)
{
    Generator generator;
    Receiver receiver;
    for (int i = 0; i < Rounds; ++i) {
        const QByteArray whole = encodePeerFrame(
            {PeerMessageKind::Heartbeat, heartbeatToCbor(fullHeartbeat(generator))});
        if (const auto frame = decodePeerFrame(generator.damaged(whole)))
            receiver.take(frame->body, generator);
        const QCborMap news = quarantineNewsToCbor(
            {QuarantineNewsKind::Suspects,
             {requestFingerprint(WorkspaceId(QStringLiteral("w")), "/p", QByteArray::number(i))},
             WorkspaceId(QStringLiteral("w")),
             Milliseconds(0),
             TargetId(QStringLiteral("t"))});
        const QByteArray damaged =
            generator.damaged(encodePeerFrame({PeerMessageKind::Quarantine, news}));
        if (const auto frame = decodePeerFrame(damaged))
            receiver.take(frame->body, generator);
    }
    BOOST_TEST(receiver.accepted > 0);
    BOOST_TEST(receiver.withinBounds);
}

BOOST_AUTO_TEST_CASE(MessagesComeBackAsTheyWent)
{
    Generator generator;
    for (int i = 0; i < 500; ++i) {
        const HeartbeatMessage message = fullHeartbeat(generator);
        const QCborMap body = heartbeatToCbor(message);
        const auto frame = decodePeerFrame(encodePeerFrame({PeerMessageKind::Heartbeat, body}));
        BOOST_REQUIRE(frame.has_value());
        const auto again = heartbeatFromCbor(frame->body);
        BOOST_REQUIRE(again.has_value());
        BOOST_TEST((heartbeatToCbor(*again) == body));
    }
}
