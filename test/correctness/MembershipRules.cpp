// The rules of membership, by messages handed over in memory and a time that the test moves.
#define BOOST_TEST_MODULE MembershipRules
#include <boost/test/unit_test.hpp>

#include "membership/MemberTable.h"
#include "membership/MembershipRules.h"

#include <map>
#include <queue>
#include <random>
#include <set>

using namespace cranberry;

namespace {

constexpr Milliseconds Step{100};

QString name(int i)
{
    return QStringLiteral("vm%1").arg(i, 3, 10, QLatin1Char('0'));
}

Member member(int i)
{
    Member result;
    result.vm = VmId(name(i));
    result.dataCentre = DataCentreId(QStringLiteral("dc"));
    result.address = QStringLiteral("127.0.0.1");
    result.peerPort = quint16(1000 + i);
    return result;
}

/// A few memberships whose messages take one step and are lost by chance.
struct Exchange {
    explicit Exchange(int count, unsigned seed = 1)
        : random(seed)
    {
        QList<Member> listed;
        for (int i = 0; i < count; ++i)
            listed.append(member(i));
        for (int i = 0; i < count; ++i) {
            start(i, 1000 + i);
            apply(listed[i].vm, applyListedMembers(states.at(listed[i].vm), listed, now));
        }
    }

    void start(int i, qint64 incarnation)
    {
        Member self = member(i);
        self.incarnation = Incarnation(incarnation);
        states[self.vm] = makeMembershipState(self, settings, now);
    }

    void apply(const VmId &vm, const MembershipOutput &output)
    {
        for (const OutgoingMessage &message : output.messages) {
            if (const auto *heartbeat = std::get_if<HeartbeatMessage>(&message.content))
                bytes[vm] += heartbeatToCbor(*heartbeat).toCborValue().toCbor().size()
                    + settings.headerBytes;
            next.push_back({vm, message});
        }
        for (const Broadcast &item : output.broadcasts)
            news[vm].append(item);
        for (const Member &change : output.changes) {
            if (change.state == MemberState::Dead && change.incarnation > Incarnation())
                ++deaths;
        }
    }

    void step()
    {
        now += Step;
        std::vector<std::pair<VmId, OutgoingMessage>> due;
        due.swap(next);
        for (const auto &[from, message] : due) {
            if (silent.count(from) || silent.count(message.to) || cut.count({from, message.to})
                || std::uniform_real_distribution<>(0, 1)(random) < loss)
                continue;
            deliver(from, message);
        }
        for (auto &[vm, state] : states) {
            if (!silent.count(vm))
                apply(vm, onTick(state, now, random()));
        }
    }

    void deliver(const VmId &from, const OutgoingMessage &message)
    {
        MembershipState &state = states.at(message.to);
        if (const auto *heartbeat = std::get_if<HeartbeatMessage>(&message.content)) {
            const int size = int(heartbeatToCbor(*heartbeat).toCborValue().toCbor().size());
            apply(message.to, onHeartbeat(state, from, *heartbeat, size, now));
        } else if (const auto *probe = std::get_if<ProbeMessage>(&message.content)) {
            apply(message.to, onProbe(state, from, *probe, now));
        } else {
            const auto &answer = std::get<ProbeAnswerMessage>(message.content);
            apply(message.to, onProbeAnswer(state, from, answer, now));
        }
    }

    void run(Milliseconds time)
    {
        for (Milliseconds passed{0}; passed < time; passed += Step)
            step();
    }

    /// Steps until @p condition holds; false if it never does within @p limit.
    template <typename Condition>
    bool runUntil(Condition condition, Milliseconds limit)
    {
        for (Milliseconds passed{0}; passed < limit; passed += Step) {
            if (condition())
                return true;
            step();
        }
        return condition();
    }

    MemberState seenBy(const VmId &viewer, const VmId &vm) const
    {
        return states.at(viewer).others.value(vm).member.state;
    }

    bool allSee(const VmId &vm, MemberState expected) const
    {
        for (const auto &[viewer, state] : states) {
            if (viewer != vm && !silent.count(viewer) && seenBy(viewer, vm) != expected)
                return false;
        }
        return true;
    }

    std::mt19937_64 random;
    MembershipSettings settings;
    MonotonicTime now{std::chrono::hours(1)};
    std::map<VmId, MembershipState> states;
    std::vector<std::pair<VmId, OutgoingMessage>> next;
    std::set<VmId> silent;
    std::set<std::pair<VmId, VmId>> cut;
    std::map<VmId, QList<Broadcast>> news;
    std::map<VmId, qint64> bytes;
    double loss = 0;
    int deaths = 0;
};

VmId vm(int i)
{
    return VmId(name(i));
}

constexpr Milliseconds Settling{20'000};
constexpr Milliseconds Limit{60'000};

} // namespace

BOOST_AUTO_TEST_CASE(NeighboursAreMutualAndBounded)
{
    for (const int count : {2, 3, 9, 13, 30, 90, 770}) {
        std::map<VmId, Neighbours> all;
        for (int i = 0; i < count; ++i) {
            QList<VmId> others;
            for (int j = 0; j < count; ++j) {
                if (j != i)
                    others.append(vm(j));
            }
            all[vm(i)] = chooseNeighbours(vm(i), others, MembershipSettings().fullMeshLimit);
        }
        for (const auto &[self, neighbours] : all) {
            BOOST_TEST(neighbours.all().size() <= 12);
            BOOST_TEST(!neighbours.contains(self));
            for (const VmId &other : neighbours.all())
                BOOST_TEST(all[other].contains(self));
            for (const VmId &other : neighbours.ring)
                BOOST_TEST(all[other].ring.contains(self));
        }
    }
}

BOOST_AUTO_TEST_CASE(SilentMemberIsFoundDeadByAll)
{
    // A VM vanishes: no connection is closed, nothing is refused, messages go into the void.
    for (const int count : {2, 9, 40}) {
        Exchange exchange(count);
        exchange.run(Settling);
        exchange.silent.insert(vm(1));
        BOOST_TEST(
            exchange.runUntil([&] { return exchange.allSee(vm(1), MemberState::Dead); }, Limit));
        BOOST_TEST(exchange.allSee(vm(0), MemberState::Alive));
    }
}

BOOST_AUTO_TEST_CASE(DataCentreThatIsLostIsFoundDeadAndNobodyElse)
{
    // A data centre goes: one member in three, among them neighbours and helpers of each other.
    Exchange exchange(42);
    exchange.run(Settling);
    for (int i = 0; i < 42; i += 3)
        exchange.silent.insert(vm(i));
    const auto found = [&] {
        for (int i = 0; i < 42; i += 3) {
            if (!exchange.allSee(vm(i), MemberState::Dead))
                return false;
        }
        return true;
    };
    BOOST_TEST(exchange.runUntil(found, Limit));
    exchange.run(Settling);
    for (int i = 0; i < 42; ++i) {
        if (i % 3 != 0)
            BOOST_TEST(exchange.allSee(vm(i), MemberState::Alive));
    }
}

BOOST_AUTO_TEST_CASE(MemberThatWasOnlyPausedComesBack)
{
    Exchange exchange(9);
    exchange.run(Settling);
    exchange.silent.insert(vm(3));
    BOOST_REQUIRE(
        exchange.runUntil([&] { return exchange.allSee(vm(3), MemberState::Dead); }, Limit));
    const Incarnation before = exchange.states.at(vm(3)).self.incarnation;
    exchange.silent.clear();
    BOOST_TEST(
        exchange.runUntil([&] { return exchange.allSee(vm(3), MemberState::Alive); }, Limit));
    BOOST_TEST((before < exchange.states.at(vm(3)).self.incarnation));
    for (int i = 0; i < 9; ++i) {
        if (i != 3)
            BOOST_TEST((exchange.seenBy(vm(3), vm(i)) != MemberState::Dead));
    }
}

BOOST_AUTO_TEST_CASE(LostMessagesKillNobody)
{
    // Links lose messages only when they break, so one in ten is far more than there are.
    for (const unsigned seed : {1U, 2U, 3U, 4U, 5U}) {
        for (const int count : {9, 40}) {
            Exchange exchange(count, seed);
            exchange.run(Settling);
            exchange.loss = 0.1;
            exchange.deaths = 0;
            exchange.run(Milliseconds(120'000));
            BOOST_TEST(exchange.deaths == 0);
        }
    }
}

BOOST_AUTO_TEST_CASE(LinkThatStallsBetweenTwoKillsNeither)
{
    // Two ring neighbours cannot reach each other, but both reach the rest.
    Exchange exchange(9);
    exchange.run(Settling);
    const VmId other = exchange.states.at(vm(0)).neighbours.ring.first();
    exchange.cut = {{vm(0), other}, {other, vm(0)}};
    exchange.deaths = 0;
    exchange.run(Milliseconds(60'000));
    BOOST_TEST(exchange.deaths == 0);
    for (const auto &[viewer, state] : exchange.states) {
        if (viewer != vm(0))
            BOOST_TEST((exchange.seenBy(viewer, vm(0)) != MemberState::Dead));
    }
}

BOOST_AUTO_TEST_CASE(DaemonThatIsCutOffCallsNobodyDead)
{
    // A switch cuts one daemon off. If it took the others for dead, it would, once back, tell
    // them so and set the whole fleet to refuting.
    Exchange exchange(9);
    exchange.run(Settling);
    for (int i = 1; i < 9; ++i) {
        exchange.cut.insert({vm(0), vm(i)});
        exchange.cut.insert({vm(i), vm(0)});
    }
    exchange.run(Milliseconds(60'000));
    for (int i = 1; i < 9; ++i)
        BOOST_TEST((exchange.seenBy(vm(0), vm(i)) != MemberState::Dead));
    BOOST_TEST(isIsolated(exchange.states.at(vm(0)), exchange.now));
}

BOOST_AUTO_TEST_CASE(TwoHalvesFindEachOtherAgain)
{
    // Two regions lose each other for a while; each serves on and has the other for dead. If
    // nobody spoke to the dead they would stay two fleets.
    for (const int count : {10, 40}) {
        Exchange exchange(count);
        exchange.run(Settling);
        for (int i = 0; i < count; ++i) {
            for (int j = 0; j < count; ++j) {
                if (i % 2 != j % 2)
                    exchange.cut.insert({vm(i), vm(j)});
            }
        }
        exchange.run(Milliseconds(90'000));
        BOOST_TEST((exchange.seenBy(vm(0), vm(1)) == MemberState::Dead));
        exchange.cut.clear();
        const auto whole = [&] {
            for (int i = 0; i < count; ++i) {
                if (!exchange.allSee(vm(i), MemberState::Alive))
                    return false;
            }
            return true;
        };
        BOOST_TEST(exchange.runUntil(whole, Milliseconds(120'000)));
    }
}

BOOST_AUTO_TEST_CASE(LeavingIsKnownToAllAtOnce)
{
    for (const int count : {9, 40}) {
        Exchange exchange(count);
        exchange.run(Settling);
        exchange.apply(vm(2), leave(exchange.states.at(vm(2)), exchange.now));
        // Three daemons apart at most in a fleet of forty, a step a message and one to act.
        BOOST_TEST(exchange.runUntil([&] { return exchange.allSee(vm(2), MemberState::Leaving); },
                                     Milliseconds(1000)));
    }
}

BOOST_AUTO_TEST_CASE(NewsReachesEachDaemonOnce)
{
    Exchange exchange(40);
    exchange.run(Settling);
    exchange.apply(vm(5),
                   addBroadcast(exchange.states.at(vm(5)), PeerMessageKind::TargetLeaving,
                                {{1, QStringLiteral("t1")}}, 77, exchange.now));
    exchange.run(Milliseconds(5000));
    for (int i = 0; i < 40; ++i)
        BOOST_TEST(exchange.news[vm(i)].size() == (i == 5 ? 0 : 1));
}

BOOST_AUTO_TEST_CASE(VersionIsHeardByNeighbours)
{
    Exchange exchange(9);
    exchange.run(Settling);
    exchange.apply(vm(4),
                   setOwnConfigurationVersion(exchange.states.at(vm(4)), ConfigurationVersion(12)));
    const auto known = [&] {
        for (int i = 0; i < 9; ++i) {
            if (i != 4
                && exchange.states.at(vm(i)).others[vm(4)].member.configurationVersion
                    != ConfigurationVersion(12))
                return false;
        }
        return true;
    };
    BOOST_TEST(exchange.runUntil(known, Milliseconds(1000)));
}

BOOST_AUTO_TEST_CASE(RestartUnderTheSameNameReplacesTheOldOne)
{
    Exchange exchange(9);
    exchange.run(Settling);
    exchange.start(6, 900'000);
    QList<Member> listed{member(0), member(1)};
    exchange.apply(vm(6), applyListedMembers(exchange.states.at(vm(6)), listed, exchange.now));
    const auto replaced = [&] {
        for (int i = 0; i < 9; ++i) {
            const Member seen = exchange.states.at(vm(i)).others.value(vm(6)).member;
            if (i != 6
                && (seen.incarnation < Incarnation(900'000) || seen.state != MemberState::Alive))
                return false;
        }
        return true;
    };
    BOOST_TEST(exchange.runUntil(replaced, Limit));
    BOOST_TEST(
        exchange.runUntil([&] { return exchange.states.at(vm(6)).others.size() == 8; }, Limit));
}

BOOST_AUTO_TEST_CASE(DeadMemberIsForgottenAfterAWhile)
{
    Exchange exchange(5);
    exchange.run(Settling);
    exchange.silent.insert(vm(1));
    exchange.run(exchange.settings.deadRetention + Limit);
    BOOST_TEST(!exchange.states.at(vm(0)).others.contains(vm(1)));
}

BOOST_AUTO_TEST_CASE(HeartbeatsKeepToTheirBytes)
{
    for (const int count : {2, 6, 9, 13, 40, 90}) {
        Exchange exchange(count);
        exchange.run(Settling);
        exchange.bytes.clear();
        constexpr int Seconds = 60;
        exchange.run(std::chrono::seconds(Seconds));
        for (const auto &[vm, sent] : exchange.bytes) {
            // What is received is what the neighbours send: the same by symmetry.
            BOOST_TEST(2 * sent / Seconds <= 1500);
        }
    }
}

BOOST_AUTO_TEST_CASE(GreaterIncarnationThenWorseStateWins)
{
    Member known = member(1);
    known.incarnation = Incarnation(5);
    Member said = known;
    BOOST_TEST(!supersedes(said, known));
    said.state = MemberState::Suspect;
    BOOST_TEST(supersedes(said, known));
    said.incarnation = Incarnation(4);
    said.state = MemberState::Dead;
    BOOST_TEST(!supersedes(said, known));
    known.state = MemberState::Dead;
    said.incarnation = Incarnation(6);
    said.state = MemberState::Alive;
    BOOST_TEST(supersedes(said, known));
}
