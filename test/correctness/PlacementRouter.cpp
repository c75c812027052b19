// The router: each target's room is given out by one daemon, over a network that loses messages.
#define BOOST_TEST_MODULE PlacementRouter
#include <boost/test/unit_test.hpp>

#include "admission/AdmissionQueue.h"
#include "admission/CreditExchange.h"
#include "admission/PlacementRouter.h"
#include "membership/MemberView.h"
#include "membership/RendezvousHash.h"
#include "peer/PeerNetwork.h"
#include "placement/TargetTable.h"
#include "support/ManualTimers.h"

using namespace cranberry;

namespace {

const ModelId Model(QStringLiteral("m"));
const ServiceId Service(QStringLiteral("s"));
const VmId Here(QStringLiteral("vm1"));
const VmId There(QStringLiteral("vm2"));
constexpr qint64 Capacity = 8192;

class Members final : public MemberView
{
public:
    explicit Members(VmId self)
        : m_self(std::move(self))
    {
        live = {Here, There};
    }
    VmId self() const override { return m_self; }
    QList<Member> members() const override { return liveMembers(); }
    QList<Member> liveMembers() const override
    {
        QList<Member> list;
        for (const VmId &vm : live) {
            Member member;
            member.vm = vm;
            list.append(member);
        }
        return list;
    }

    QList<VmId> live;

private:
    VmId m_self;
};

class Network final : public PeerNetwork
{
public:
    using Peers = std::map<VmId, Network *>;

    Network(VmId self, Peers &peers)
        : m_self(std::move(self))
        , m_peers(peers)
    {
        m_peers[m_self] = this;
    }
    bool send(const VmId &vm, PeerMessageKind kind, const QCborMap &body) override
    {
        ++sent;
        if (!lost)
            queue.push_back([peer = m_peers[vm], kind, body, from = m_self] {
                peer->m_handlers[kind](from, body);
            });
        return true;
    }
    void subscribe(PeerMessageKind kind, Handler handler) override
    {
        m_handlers[kind] = std::move(handler);
    }

    bool lost = false;
    int sent = 0;
    QList<std::function<void()>> queue;

private:
    VmId m_self;
    Peers &m_peers;
    std::map<PeerMessageKind, Handler> m_handlers;
};

struct Daemon {
    Daemon(const VmId &self, test::ManualTimers &timers, Network::Peers &peers)
        : members(self)
        , network(self, peers)
        , queue(timers, targets, [] { return quint64(0); })
        , exchange(timers, network, queue)
        , router(timers, targets, queue, exchange, members, [] { return quint64(0); })
    {
    }
    void deliver()
    {
        while (!network.queue.isEmpty())
            network.queue.takeFirst()();
    }

    Members members;
    Network network;
    TargetTable targets;
    AdmissionQueue queue;
    CreditExchange exchange;
    PlacementRouter router;
};

struct Outcome {
    int calls = 0;
    TargetId target;
    std::optional<Error> error;
};

struct Fixture {
    Fixture()
    {
        // One target that only the other daemon gives out.
        for (int i = 0; target.isEmpty(); ++i) {
            const QString name = QStringLiteral("t%1").arg(i);
            if (rendezvousOwner(name, {Here, There}) == There)
                target = TargetId(name);
        }
        configuration.services.insert(Service, {});
        configuration.targets.insert(target, {Service, {}, {}, {Model}});
        for (Daemon *daemon : {&here, &there}) {
            daemon->targets.setConfiguration(configuration);
            daemon->router.setConfiguration(std::make_shared<const Configuration>(configuration));
            report(*daemon, 0);
        }
    }

    void report(Daemon &daemon, qint64 resident)
    {
        LoadReport report;
        report.incarnation = Incarnation(1);
        report.capacityTokens = Tokens(Capacity);
        report.residentTokens = Tokens(resident);
        report.running = resident > 0 ? 1 : 0;
        daemon.targets.reportReceived(target, report, timers.now());
        daemon.queue.capacityChanged();
    }

    void enqueue(const QString &name)
    {
        AdmissionRequest request;
        request.placement.request = RequestId(name);
        request.placement.service = Service;
        request.placement.model = Model;
        request.placement.promptTokens = Tokens(100);
        request.placement.maxTokens = Tokens(500);
        request.attempt = AttemptId(name);
        request.deadline = timers.now() + Milliseconds(60'000);
        here.router.enqueue(request, [this, name](const Result<TargetId> &result) {
            Outcome &outcome = outcomes[name];
            ++outcome.calls;
            if (result.has_value())
                outcome.target = result.value();
            else
                outcome.error = result.error();
        });
    }

    void deliver()
    {
        for (int i = 0; i < 4; ++i) {
            here.deliver();
            there.deliver();
        }
    }

    test::ManualTimers timers;
    Network::Peers peers;
    Daemon here{Here, timers, peers};
    Daemon there{There, timers, peers};
    Configuration configuration;
    TargetId target;
    std::map<QString, Outcome> outcomes;
};

const QString A = QStringLiteral("a");

} // namespace

BOOST_FIXTURE_TEST_CASE(RoomIsGrantedByTheHomeAndTakenThere, Fixture)
{
    enqueue(A);
    BOOST_TEST(outcomes[A].calls == 0);
    deliver();
    BOOST_CHECK(outcomes[A].target == target);
    BOOST_TEST(here.targets.loadsFor(Model, timers.now()).first().ownRequests == 1);
    const TargetLoad atHome = there.targets.loadsFor(Model, timers.now()).first();
    BOOST_TEST(atHome.remoteRequests == 1);
    BOOST_TEST(atHome.residentTokens.value() == 100);
}

BOOST_FIXTURE_TEST_CASE(GrantIsCountedUntilAReportShowsTheSend, Fixture)
{
    enqueue(A);
    deliver();
    report(there, 0);
    BOOST_TEST(there.targets.loadsFor(Model, timers.now()).first().remoteRequests == 1);
    timers.advance(Milliseconds(200));
    report(there, 120);
    const TargetLoad load = there.targets.loadsFor(Model, timers.now()).first();
    BOOST_TEST(load.remoteRequests == 1);
    BOOST_TEST(load.residentTokens.value() == 120);
}

BOOST_FIXTURE_TEST_CASE(EndOfAGrantedSendFreesTheRoomAtItsHome, Fixture)
{
    enqueue(A);
    deliver();
    here.queue.attemptEnded(AttemptId(A), AttemptEnd::Finished);
    here.queue.requestEnded(RequestId(A));
    deliver();
    const TargetLoad load = there.targets.loadsFor(Model, timers.now()).first();
    BOOST_TEST(load.remoteRequests == 0);
    BOOST_TEST(load.residentTokens.value() == 0);
}

BOOST_FIXTURE_TEST_CASE(GrantWhoseEndIsLostIsForgottenInTime, Fixture)
{
    // The daemon that was granted room dies. Its requests would otherwise fill the target in
    // the eyes of its home for ever, and callers would wait before an idle target.
    enqueue(A);
    deliver();
    timers.advance(Milliseconds(601'000));
    report(there, 0);
    BOOST_TEST(there.targets.loadsFor(Model, timers.now()).first().remoteRequests == 0);
}

BOOST_FIXTURE_TEST_CASE(RestartedTargetIsFreeOfEarlierGrants, Fixture)
{
    enqueue(A);
    deliver();
    LoadReport restarted;
    restarted.incarnation = Incarnation(2);
    restarted.capacityTokens = Tokens(Capacity);
    there.targets.reportReceived(target, restarted, timers.now());
    BOOST_TEST(there.targets.loadsFor(Model, timers.now()).first().remoteRequests == 0);
}

BOOST_FIXTURE_TEST_CASE(FullHomeLetsTheRequestWaitItsTurn, Fixture)
{
    report(there, Capacity);
    enqueue(A);
    deliver();
    BOOST_TEST(outcomes[A].calls == 0);
    BOOST_TEST(there.queue.waiting() == 1);
    report(there, 0);
    deliver();
    BOOST_CHECK(outcomes[A].target == target);
    BOOST_TEST(outcomes[A].calls == 1);
}

BOOST_FIXTURE_TEST_CASE(CancelledRequestLeavesTheHomesQueue, Fixture)
{
    report(there, Capacity);
    enqueue(A);
    deliver();
    here.router.cancel(RequestId(A));
    deliver();
    BOOST_TEST(there.queue.waiting() == 0);
    BOOST_TEST(outcomes[A].calls == 0);
}

BOOST_FIXTURE_TEST_CASE(HomeThatDiesWithAWaitingRequestDoesNotHoldIt, Fixture)
{
    // A caller waits until its deadline though targets are free: the daemon in whose queue its
    // request stood has died, and nobody else knows of the request.
    report(there, Capacity);
    enqueue(A);
    deliver();
    there.network.lost = true;
    report(here, 0);
    here.members.live = {Here};
    timers.advance(Milliseconds(200));
    BOOST_CHECK(outcomes[A].target == target);
    BOOST_TEST(outcomes[A].calls == 1);
}

BOOST_FIXTURE_TEST_CASE(LostAskIsRepeatedAndAnsweredOnce, Fixture)
{
    // The link to the home stalls without closing. The ask is given up after its timeout and
    // repeated; when the link comes back the old answers must not give a second target.
    enqueue(A);
    const QList<std::function<void()>> stalled = std::exchange(here.network.queue, {});
    timers.advance(Milliseconds(250));
    deliver();
    BOOST_TEST(outcomes[A].calls == 1);
    for (const std::function<void()> &late : stalled)
        late();
    deliver();
    BOOST_TEST(outcomes[A].calls == 1);
    BOOST_TEST(here.targets.loadsFor(Model, timers.now()).first().ownRequests == 1);
    BOOST_TEST(there.targets.loadsFor(Model, timers.now()).first().remoteRequests == 1);
}

BOOST_FIXTURE_TEST_CASE(RoomGrantedTooLateIsGivenBack, Fixture)
{
    // A slow home grants room after whoever asked has gone elsewhere. If nobody said so, the
    // target would look full for minutes and callers would wait before an idle target.
    enqueue(A);
    here.members.live = {Here};
    report(here, 0);
    timers.advance(Milliseconds(250));
    BOOST_TEST(outcomes[A].calls == 1);
    deliver();
    BOOST_TEST(outcomes[A].calls == 1);
    BOOST_TEST(there.targets.loadsFor(Model, timers.now()).first().remoteRequests == 0);
}

BOOST_FIXTURE_TEST_CASE(NoUsableTargetIsToldAfterTheGrace, Fixture)
{
    here.targets.markDead(target);
    there.targets.markDead(target);
    enqueue(A);
    deliver();
    timers.advance(Milliseconds(4000));
    BOOST_TEST(outcomes[A].calls == 0);
    timers.advance(Milliseconds(1500));
    BOOST_REQUIRE(outcomes[A].error.has_value());
    BOOST_CHECK(outcomes[A].error->kind == ErrorKind::NoTarget);
    BOOST_CHECK(outcomes[A].error->ran == Ran::No);
}

BOOST_AUTO_TEST_CASE(MessagesSurviveTheWireAndBoundsAreChecked)
{
    CreditRequest request;
    request.exchangeId = 7;
    request.kind = CreditRequestKind::Wait;
    request.timeLeft = Milliseconds(1234);
    request.request.placement.request = RequestId(QStringLiteral("r"));
    request.request.placement.service = Service;
    request.request.placement.workspace = WorkspaceId(QStringLiteral("w"));
    request.request.placement.prefixHash = ~quint64(0);
    request.request.placement.excluded.insert(TargetId(QStringLiteral("t")));
    request.request.priority = -3;
    const std::optional<CreditRequest> read = creditRequestFromCbor(toCbor(request));
    BOOST_REQUIRE(read.has_value());
    BOOST_CHECK(read->kind == CreditRequestKind::Wait);
    BOOST_TEST(read->timeLeft.count() == 1234);
    BOOST_TEST(read->request.placement.prefixHash == ~quint64(0));
    BOOST_TEST(read->request.placement.excluded.size() == 1);
    BOOST_TEST(read->request.priority == -3);
    BOOST_TEST(read->request.remote);

    const QByteArray whole = toCbor(request).toCborValue().toCbor();
    request.kind = CreditRequestKind::Done;
    const std::optional<CreditRequest> done = creditRequestFromCbor(toCbor(request));
    BOOST_REQUIRE(done.has_value());
    BOOST_CHECK(done->request.placement.request == RequestId(QStringLiteral("r")));
    BOOST_TEST(toCbor(request).toCborValue().toCbor().size() < whole.size() / 2);

    request.kind = CreditRequestKind::Wait;
    QCborMap broken = toCbor(request);
    broken.insert(qint64(2), 99);
    BOOST_TEST(!creditRequestFromCbor(broken).has_value());
    BOOST_TEST(!creditRequestFromCbor({}).has_value());
    BOOST_TEST(!creditAnswerFromCbor({}).has_value());
}
