// The admission queue: placed at once, served in turn, or refused the moment it is known.
#define BOOST_TEST_MODULE AdmissionQueue
#include <boost/test/unit_test.hpp>

#include "admission/AdmissionQueue.h"
#include "placement/TargetTable.h"
#include "support/ManualTimers.h"

using namespace cranberry;

namespace {

const TargetId Target(QStringLiteral("t1"));
const ModelId Model(QStringLiteral("m"));
const ServiceId Service(QStringLiteral("s"));
const WorkspaceId Greedy(QStringLiteral("greedy"));
const WorkspaceId Ordinary(QStringLiteral("ordinary"));
constexpr int QueueLimit = 4;

struct Outcome {
    int calls = 0;
    bool placed = false;
    Error error;
};

struct Fixture {
    Fixture()
    {
        ServiceConfiguration service;
        service.policy = PolicyName::LeastRequests;
        service.queueLimit = QueueLimit;
        configuration.services.insert(Service, service);
        configuration.workspaces.insert(Greedy, {});
        configuration.workspaces.insert(Ordinary, {});
        configuration.targets.insert(Target, {Service, {}, {}, {Model}});
        apply();
    }

    void apply()
    {
        targets.setConfiguration(configuration);
        queue.setConfiguration(std::make_shared<const Configuration>(configuration));
    }

    AdmissionRequest request(const QString &name, const WorkspaceId &workspace = Ordinary)
    {
        AdmissionRequest made;
        made.placement.request = RequestId(name);
        made.placement.service = Service;
        made.placement.model = Model;
        made.placement.workspace = workspace;
        made.attempt = AttemptId(name);
        made.deadline = timers.now() + Milliseconds(60'000);
        return made;
    }

    void enqueue(const AdmissionRequest &request)
    {
        const QString name = request.placement.request.text();
        queue.enqueue(request, [this, name](Result<TargetId> result) {
            Outcome &outcome = outcomes[name];
            ++outcome.calls;
            outcome.placed = result.has_value();
            if (result.has_error())
                outcome.error = result.error();
            if (callback)
                callback(name);
        });
    }

    Configuration configuration;
    test::ManualTimers timers;
    TargetTable targets;
    AdmissionQueue queue{timers, targets, [] { return quint64(0); }};
    std::map<QString, Outcome> outcomes;
    std::function<void(const QString &)> callback;
};

const QString A = QStringLiteral("a");
const QString B = QStringLiteral("b");

} // namespace

BOOST_FIXTURE_TEST_CASE(RequestIsPlacedAtOnceWhereThereIsRoom, Fixture)
{
    enqueue(request(A));
    BOOST_TEST(outcomes[A].placed);
    BOOST_TEST(targets.loadsFor(Model, timers.now()).first().ownRequests == 1);
    queue.attemptEnded(AttemptId(A), AttemptEnd::Finished);
    BOOST_TEST(targets.loadsFor(Model, timers.now()).first().ownRequests == 0);
}

BOOST_FIXTURE_TEST_CASE(WaitingRequestsAreServedWhenATargetComes, Fixture)
{
    targets.markDead(Target);
    enqueue(request(A));
    enqueue(request(B));
    BOOST_TEST(outcomes[A].calls == 0);
    BOOST_TEST(queue.waiting() == 2);
    targets.markAlive(Target);
    queue.capacityChanged();
    BOOST_TEST(outcomes[A].placed);
    BOOST_TEST(outcomes[B].placed);
    BOOST_TEST(queue.waiting() == 0);
}

BOOST_FIXTURE_TEST_CASE(GivenUpRequestGetsItsFinalAnswerAtOnce, Fixture)
{
    // A caller whose request cannot be served in time is left hanging until its own timeout,
    // because the queue only looks at deadlines when a place comes free.
    targets.markDead(Target);
    AdmissionRequest urgent = request(A);
    urgent.deadline = timers.now() + Milliseconds(100);
    enqueue(urgent);
    timers.advance(Milliseconds(80));
    BOOST_TEST(outcomes[A].calls == 0);
    timers.advance(Milliseconds(40));
    BOOST_TEST(outcomes[A].calls == 1);
    BOOST_CHECK(outcomes[A].error.kind == ErrorKind::DeadlineExceeded);
    BOOST_CHECK(outcomes[A].error.ran == Ran::No);
    targets.markAlive(Target);
    queue.capacityChanged();
    BOOST_TEST(outcomes[A].calls == 1);
}

BOOST_FIXTURE_TEST_CASE(NoUsableTargetIsToldAfterTheGrace, Fixture)
{
    targets.markDead(Target);
    enqueue(request(A));
    timers.advance(Milliseconds(4900));
    BOOST_TEST(outcomes[A].calls == 0);
    timers.advance(Milliseconds(400));
    BOOST_CHECK(outcomes[A].error.kind == ErrorKind::NoTarget);
}

BOOST_FIXTURE_TEST_CASE(CancelledRequestIsNeverCalledBack, Fixture)
{
    targets.markDead(Target);
    enqueue(request(A));
    queue.cancel(RequestId(A));
    queue.cancel(RequestId(A));
    targets.markAlive(Target);
    queue.capacityChanged();
    timers.advance(Milliseconds(70'000));
    BOOST_TEST(outcomes[A].calls == 0);
    BOOST_TEST(targets.loadsFor(Model, timers.now()).first().ownRequests == 0);
}

BOOST_FIXTURE_TEST_CASE(GreedyWorkspaceMakesRoomInAFullQueue, Fixture)
{
    // One workspace submits a night's work at once; the next caller of another workspace is
    // told that the queue is full, though that workspace has not sent anything.
    targets.markDead(Target);
    for (int i = 0; i <= QueueLimit; ++i)
        enqueue(request(QStringLiteral("g%1").arg(i), Greedy));
    BOOST_CHECK(outcomes[QStringLiteral("g4")].error.kind == ErrorKind::QueueFull);
    BOOST_TEST(queue.waiting() == QueueLimit);
    enqueue(request(A));
    BOOST_TEST(outcomes[A].calls == 0);
    BOOST_CHECK(outcomes[QStringLiteral("g3")].error.kind == ErrorKind::QueueFull);
    targets.markAlive(Target);
    queue.capacityChanged();
    BOOST_TEST(outcomes[A].placed);
    for (const auto &[name, outcome] : outcomes)
        BOOST_TEST(outcome.calls == 1);
}

BOOST_FIXTURE_TEST_CASE(CallbackMayEndTheAttemptAndEnqueueAgain, Fixture)
{
    // The send fails inside the callback and the request comes back as a retry.
    targets.markDead(Target);
    enqueue(request(A));
    enqueue(request(B));
    callback = [&](const QString &name) {
        if (name == A && outcomes[A].calls == 1) {
            queue.attemptEnded(AttemptId(A), AttemptEnd::Incomplete);
            AdmissionRequest again = request(A);
            again.attempt = AttemptId(QStringLiteral("a2"));
            again.retry = true;
            enqueue(again);
        }
    };
    targets.markAlive(Target);
    queue.capacityChanged();
    BOOST_TEST(outcomes[A].calls == 2);
    BOOST_TEST(outcomes[B].calls == 1);
    BOOST_TEST(queue.waiting() == 0);
}

BOOST_FIXTURE_TEST_CASE(ConcurrencyLimitIsHeldUntilTheRequestEnds, Fixture)
{
    configuration.workspaces[Ordinary].limits.concurrentRequests = 1;
    apply();
    enqueue(request(A));
    queue.attemptEnded(AttemptId(A), AttemptEnd::Finished);
    enqueue(request(B));
    BOOST_CHECK(outcomes[B].error.kind == ErrorKind::OverLimit);
    queue.requestEnded(RequestId(A));
    enqueue(request(QStringLiteral("c")));
    BOOST_TEST(outcomes[QStringLiteral("c")].placed);
}

BOOST_FIXTURE_TEST_CASE(RefusedRequestDoesNotCountAsUnderWay, Fixture)
{
    configuration.workspaces[Ordinary].limits.concurrentRequests = 1;
    apply();
    AdmissionRequest late = request(A);
    late.deadline = timers.now();
    targets.markDead(Target);
    enqueue(late);
    BOOST_CHECK(outcomes[A].error.kind == ErrorKind::DeadlineTooShort);
    targets.markAlive(Target);
    enqueue(request(B));
    BOOST_TEST(outcomes[B].placed);
}

BOOST_FIXTURE_TEST_CASE(UnknownServiceIsRefused, Fixture)
{
    AdmissionRequest lost = request(A);
    lost.placement.service = ServiceId(QStringLiteral("none"));
    enqueue(lost);
    BOOST_CHECK(outcomes[A].error.kind == ErrorKind::UnknownService);
}
