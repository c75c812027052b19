// Tests what targets say of themselves in their answers: the pauses that they ask a daemon for, and
// that they leave.
#define BOOST_TEST_MODULE TargetPauses
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "standins/users/PausingTargets.h"
#include "standins/users/PromiseChecks.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"

#include <QFile>

#include <algorithm>
#include <csignal>
#include <ostream>
#include <vector>

using namespace cranberry;
using standin::LeavingForm;
using standin::PauseBehaviour;
using standin::PausingTargets;
namespace data = boost::unit_test::data;

namespace {

constexpr Milliseconds WarmUp{500};
constexpr Milliseconds KillInterval{2000};
/// Time from the end of the trouble to the count of what each target receives.
constexpr Milliseconds ReturnTime{1000};
constexpr Milliseconds CountTime{1000};
/// A caller that cannot be served is told so within this time.
constexpr Milliseconds AtOnce{1000};
/// Requests of plain services wait for a target for 0.6 objectives at most.
constexpr Milliseconds PlainWait{1200};
/// Callers that are rejected return up to this much later than the first pause ends.
constexpr Milliseconds MaxReturnSpread{2500};
/// An answer of a target reaches its daemon, and a rejection its caller, within this time.
constexpr Milliseconds AnswerDelay{100};
constexpr Milliseconds StoreOutage{7000};
const QByteArray CallerDeadlineMs = "4000";

struct PauseShape {
    const char *name = "";
    PauseBehaviour behaviour;
    int daemons = 4;
    int targets = 4;
    int inTrouble = 1;
    int perSecond = 60;
    Milliseconds duration{5000};
    bool isStream = false;
    bool areDaemonsKilled = false;
    bool isStoreAway = false;
    /// In the middle of the trouble.
    bool startsAgain = false;
    bool isAddressExchanged = false;
    double minServed = 0.97;
    /// A request may wait this long for a pause to end, before another one makes it hopeless.
    Milliseconds maxWait{0};
};

std::ostream &operator<<(std::ostream &out, const PauseShape &shape)
{
    return out << shape.name;
}

template <typename Change>
PauseShape shapeOf(const char *name, QList<QByteArray> values, Change change)
{
    PauseShape shape;
    shape.name = name;
    shape.behaviour.values = std::move(values);
    change(shape);
    return shape;
}

PauseShape shapeOf(const char *name, QList<QByteArray> values)
{
    return shapeOf(name, std::move(values), [](PauseShape &) {});
}

const std::vector<PauseShape> Shapes{
    shapeOf("one of 4, 3 s", {"3"}),
    shapeOf("one of 4, fractions", {"0.7", "1.5"}),
    shapeOf("one of 4, unreadable values", {"3", "soon", "-2", "inf", "1e999", "", "0x2"}),
    shapeOf("one of 4, days", {"86400"}),
    shapeOf("one of 4, starts again", {"20"}, [](PauseShape &shape) { shape.startsAgain = true; }),
    shapeOf("one of 4, another at its address", {"20"},
            [](PauseShape &shape) { shape.isAddressExchanged = true; }),
    shapeOf("one of 4, slow answers", {"0.6", "4"},
            [](PauseShape &shape) {
                shape.behaviour.minDelay = Milliseconds(300);
                shape.behaviour.maxDelay = Milliseconds(900);
            }),
    shapeOf("one of 4, daemons killed", {"4"},
            [](PauseShape &shape) {
                shape.areDaemonsKilled = true;
                shape.minServed = 0.9;
            }),
    shapeOf("one of 4, store away", {"5"},
            [](PauseShape &shape) {
                shape.isStoreAway = true;
                shape.duration = Milliseconds(9000);
            }),
    shapeOf("all 4", {"2"},
            [](PauseShape &shape) {
                shape.inTrouble = 4;
                shape.maxWait = PlainWait;
            }),
    shapeOf("all 4, short", {"0.3"},
            [](PauseShape &shape) {
                shape.inTrouble = 4;
                shape.maxWait = PlainWait;
            }),
    shapeOf("all 4, long", {"12"},
            [](PauseShape &shape) {
                shape.inTrouble = 4;
                shape.duration = Milliseconds(4000);
            }),
    shapeOf("4 of 8, 16 daemons", {"3"},
            [](PauseShape &shape) {
                shape.daemons = 16;
                shape.targets = 8;
                shape.inTrouble = 4;
                shape.perSecond = 120;
            }),
    shapeOf("streams, one of 4", {"3"}, [](PauseShape &shape) { shape.isStream = true; }),
    shapeOf("streams, one of 4, reservations", {"3"},
            [](PauseShape &shape) {
                shape.isStream = true;
                shape.behaviour.hasReservations = true;
            }),
    shapeOf("streams, one of 4, reports", {"3"},
            [](PauseShape &shape) {
                shape.isStream = true;
                shape.daemons = 1;
                shape.behaviour.hasReports = true;
            }),
    shapeOf("streams, 2 of 4, slow answers", {"1.5", "4"},
            [](PauseShape &shape) {
                shape.isStream = true;
                shape.inTrouble = 2;
                shape.behaviour.minDelay = Milliseconds(300);
                shape.behaviour.maxDelay = Milliseconds(900);
            }),
};

const std::vector<PauseShape> UnnamedShapes{
    shapeOf("one of 4", {}),
    shapeOf("streams, one of 4", {}, [](PauseShape &shape) { shape.isStream = true; }),
};

struct Outcome {
    QByteArray id;
    MonotonicTime sentAt;
    Milliseconds took{0};
    int status = 0;
    /// Unset without Retry-After.
    std::optional<Milliseconds> retryAfter;
    /// The time from the answer until a target wants requests of the daemon again, and by what the
    /// daemon knew of it.
    Milliseconds untilResumed{0};
    Milliseconds untilKnown{0};
};

std::optional<Milliseconds> retryAfterOf(const HttpResponse &response)
{
    const QByteArray value = response.headers.value("Retry-After");
    bool isNumber = false;
    const double seconds = value.toDouble(&isNumber);
    return isNumber ? std::optional<Milliseconds>(qint64(seconds * 1000)) : std::nullopt;
}

quint32 testSeed()
{
    bool isNumber = false;
    const quint32 given = qEnvironmentVariable("CRANBERRY_TEST_SEED").toUInt(&isNumber);
    return isNumber ? given : 1;
}

/// Daemons and targets, and callers that send requests at a steady rate to random daemons.
class PauseSite
{
public:
    PauseSite(int daemons, int targets, bool isStream, int perSecond)
        : m_isStream(isStream)
        , m_interval(std::chrono::microseconds(1'000'000 / perSecond))
        , m_random(testSeed())
        , m_targets(m_site, isStream ? "model" : "plain", testSeed())
    {
        m_checks.expectStreams(test::PlatformSite::events(3));
        m_site.configure(1);
        // Daemons that start later have no share of the retry budget at first.
        m_site.setFirstStart();
        m_targets.add(targets);
        m_targets.onRan([this](const QByteArray &target, const HttpRequest &request) {
            m_checks.ran(target, request);
        });
        for (int i = 0; i < daemons; ++i)
            m_site.startDaemon();
        m_targets.checks().sent(PausingTargets::ReportId, 0, m_timers.now());
        m_daemons = daemons;
        m_next = m_timers.now();
    }

    ~PauseSite()
    {
        const QString folder = qEnvironmentVariable("CRANBERRY_TEST_LOGS");
        for (int daemon = 0; daemon < m_daemons && !folder.isEmpty(); ++daemon) {
            QFile file(QStringLiteral("%1/pauses-%2.log").arg(folder).arg(daemon));
            if (file.open(QIODevice::WriteOnly))
                file.write(m_site.log(daemon));
        }
    }
    PauseSite(const PauseSite &) = delete;
    PauseSite &operator=(const PauseSite &) = delete;

    test::PlatformSite &site() { return m_site; }
    PausingTargets &targets() { return m_targets; }
    const standin::PromiseChecks &checks() const { return m_checks; }
    const std::vector<Outcome> &outcomes() const { return m_outcomes; }
    MonotonicTime now() const { return m_timers.now(); }

    /// Sends requests for @p duration.
    void run(
        Milliseconds duration, const std::function<void()> &step = [] {})
    {
        const MonotonicTime end = m_timers.now() + duration;
        test::waitFor(
            [&] {
                for (; m_next <= m_timers.now(); m_next += m_interval)
                    send();
                step();
                collect();
                return m_timers.now() >= end;
            },
            duration + std::chrono::seconds(30));
    }

    void finish()
    {
        test::waitFor([&] {
            collect();
            return m_calls.empty();
        });
    }

    void killInTurn()
    {
        if (m_killed >= 0 && m_site.hasEnded(m_killed)) {
            m_site.restart(m_killed);
            m_targets.checks().disturbed(m_killed, m_timers.now());
            m_killed = -1;
        }
        if (m_timers.now() < m_nextKill)
            return;
        m_nextKill = m_timers.now() + KillInterval;
        m_killed = m_nextVictim++ % m_daemons;
        m_targets.checks().disturbed(m_killed, m_timers.now());
        m_site.signal(m_killed, SIGKILL);
    }

private:
    struct Call {
        QByteArray id;
        int daemon = 0;
        MonotonicTime sentAt;
        std::shared_ptr<test::ClientCall> call;
    };

    void send()
    {
        int daemon = 0;
        do {
            daemon = int(m_random() % quint32(m_daemons));
        } while (m_site.hasEnded(daemon));
        const QByteArray id = "p" + QByteArray::number(++m_count);
        HttpHeaders headers = m_isStream ? test::PlatformSite::generation() : HttpHeaders();
        headers.add("Cranberryquay-Deadline-Ms", CallerDeadlineMs);
        m_targets.checks().sent(id, daemon, m_timers.now());
        const QByteArray path = m_isStream ? "/model/a"
            : m_count % 2 == 0             ? "/safe/a"
                                           : "/unsafe/a";
        m_calls.push_back({id, daemon, m_timers.now(),
                           m_site.sendWithBody(daemon, path, id, "body of " + id, headers)});
    }

    void collect()
    {
        for (auto call = m_calls.begin(); call != m_calls.end();) {
            if (!call->call->isOver) {
                ++call;
                continue;
            }
            const HttpResponse &response = call->call->response;
            const bool isWhole = call->call->end == HttpExchangeEnd::Complete;
            m_checks.answered(call->id, response, isWhole);
            Outcome outcome;
            outcome.id = call->id;
            outcome.sentAt = call->sentAt;
            outcome.took = std::chrono::duration_cast<Milliseconds>(m_timers.now() - call->sentAt);
            outcome.status = isWhole ? response.status : 0;
            outcome.retryAfter = retryAfterOf(response);
            const MonotonicTime now = m_timers.now();
            outcome.untilResumed = m_targets.untilFirstResumes(call->daemon, now);
            outcome.untilKnown = m_targets.untilFirstResumes(call->daemon, now - AnswerDelay);
            m_outcomes.push_back(outcome);
            call = m_calls.erase(call);
        }
    }

    const bool m_isStream;
    const std::chrono::microseconds m_interval;
    std::mt19937 m_random;
    test::PlatformSite m_site;
    QtTimerService m_timers;
    PausingTargets m_targets;
    standin::PromiseChecks m_checks;
    int m_daemons = 0;
    int m_count = 0;
    MonotonicTime m_next;
    MonotonicTime m_nextKill;
    int m_killed = -1;
    int m_nextVictim = 0;
    std::vector<Call> m_calls;
    std::vector<Outcome> m_outcomes;
};

double servedShare(const std::vector<Outcome> &outcomes, MonotonicTime from, MonotonicTime until)
{
    int all = 0;
    int served = 0;
    for (const Outcome &outcome : outcomes) {
        if (outcome.sentAt < from || outcome.sentAt >= until)
            continue;
        ++all;
        served += outcome.status == 200 ? 1 : 0;
    }
    return all == 0 ? 0 : double(served) / all;
}

/// Rejections that came late, or with a time at which no target takes requests yet, or far later.
int untrueRejections(const std::vector<Outcome> &outcomes, Milliseconds maxWait)
{
    return int(std::count_if(outcomes.begin(), outcomes.end(), [&](const Outcome &outcome) {
        if (outcome.status != 503)
            return false;
        const bool isTrue = outcome.retryAfter && *outcome.retryAfter >= outcome.untilKnown
            && *outcome.retryAfter <= outcome.untilResumed + MaxReturnSpread;
        if (isTrue && outcome.took <= maxWait + AtOnce)
            return false;
        BOOST_TEST_MESSAGE(outcome.id.toStdString()
                           << " rejected after " << outcome.took.count() << " ms, until "
                           << (outcome.retryAfter ? outcome.retryAfter->count() : -1)
                           << " ms, targets resume in " << outcome.untilResumed.count() << " ms");
        return true;
    }));
}

void disturb(PauseSite &site, const PauseShape &shape, MonotonicTime begin, bool &isDone)
{
    if (shape.areDaemonsKilled)
        site.killInTurn();
    const bool isHalf = site.now() >= begin + shape.duration / 2;
    if (!isHalf || std::exchange(isDone, true))
        return;
    // What replaces the target is sound, and is used at once.
    if (shape.startsAgain || shape.isAddressExchanged)
        site.targets().stop();
    if (shape.startsAgain)
        site.targets().startAgain(0);
    if (shape.isAddressExchanged)
        site.targets().exchangeAddress(0);
}

} // namespace

BOOST_DATA_TEST_CASE(APausedTargetIsLeftAlone, data::make(Shapes))
{
    // Guards against targets that ask for a pause and receive more requests during it.
    PauseSite site(sample.daemons, sample.targets, sample.isStream, sample.perSecond);
    site.run(WarmUp);
    const MonotonicTime begin = site.now();
    if (sample.isStoreAway)
        site.site().store().refuse(standin::StoreEmulator::Door::First, true);
    site.targets().start(sample.inTrouble, sample.behaviour);
    bool isDone = false;
    site.run(sample.duration, [&] {
        disturb(site, sample, begin, isDone);
        if (sample.isStoreAway && site.now() >= begin + StoreOutage)
            site.site().store().refuse(standin::StoreEmulator::Door::First, false);
    });
    const MonotonicTime end = site.now();
    site.targets().stop();
    Milliseconds left{0};
    for (int daemon = 0; daemon < sample.daemons; ++daemon)
        left = std::max(left, site.targets().untilFirstResumes(daemon, end));
    site.run(left + ReturnTime);
    const int before = site.targets().received(0);
    site.run(CountTime);
    const int after = site.targets().received(0) - before;
    site.finish();
    const bool areAll = sample.inTrouble == sample.targets;
    const double served = servedShare(site.outcomes(), begin, end);
    const int untrue = areAll ? untrueRejections(site.outcomes(), sample.maxWait) : 0;
    const standin::PauseChecks &checks = site.targets().checks();
    BOOST_TEST_MESSAGE(
        sample << ": " << checks.pauses() << " pauses, at most " << checks.mostInPause()
               << " requests in one, " << checks.broken().size() << " lines, served " << served
               << ", " << untrue << " untrue rejections, " << after << " at the first after");
    BOOST_TEST(checks.pauses() > 0);
    BOOST_TEST(checks.broken().join(u'\n').toStdString() == "");
    BOOST_TEST(site.checks().broken().join(u'\n').toStdString() == "");
    if (!areAll)
        BOOST_TEST(served >= sample.minServed);
    BOOST_TEST(untrue == 0);
    // Pauses of the other targets have ended by then.
    if (sample.startsAgain || sample.isAddressExchanged || areAll)
        BOOST_TEST(after > 0);
}

BOOST_DATA_TEST_CASE(ATargetThatRejectsIsNotPreferred, data::make(UnnamedShapes))
{
    // Guards against a target that rejects requests at once, looks idle, and receives all of them.
    PauseSite site(sample.daemons, sample.targets, sample.isStream, sample.perSecond);
    site.run(WarmUp);
    const MonotonicTime begin = site.now();
    site.targets().start(sample.inTrouble, sample.behaviour);
    site.run(sample.duration);
    const MonotonicTime end = site.now();
    site.targets().stop();
    site.run(ReturnTime);
    const int before = site.targets().received(0);
    site.run(CountTime);
    const int after = site.targets().received(0) - before;
    site.finish();
    const double served = servedShare(site.outcomes(), begin, end);
    BOOST_TEST_MESSAGE(sample << ": served " << served << ", " << after << " at the first after");
    BOOST_TEST(site.checks().broken().join(u'\n').toStdString() == "");
    BOOST_TEST(served >= sample.minServed);
    BOOST_TEST(after > 0);
}

namespace {

struct LeavingShape {
    const char *name = "";
    LeavingForm form = LeavingForm::Success;
    int daemons = 4;
    int leaving = 1;
    bool isStream = false;
    /// Its entry is missing for a second, and is then there again, ready.
    bool isEntryLost = false;
    bool isStoreAway = false;
    bool startsAgain = false;
};

std::ostream &operator<<(std::ostream &out, const LeavingShape &shape)
{
    return out << shape.name;
}

const std::vector<LeavingShape> LeavingShapes{
    {"in answers of 200", LeavingForm::Success},
    {"in answers of 500", LeavingForm::Error},
    {"in answers of 503", LeavingForm::Rejection},
    {"in answers of 421", LeavingForm::Misdirected},
    {"in reports", LeavingForm::Report, 1, 1, true},
    {"in heads of streams", LeavingForm::Success, 4, 1, true},
    {"streams, in answers of 500, 2 of 4", LeavingForm::Error, 4, 2, true},
    {"entry lost", LeavingForm::Success, 4, 1, false, true},
    {"3 of 4, store away", LeavingForm::Success, 4, 3, false, false, true},
    {"starts again", LeavingForm::Success, 4, 1, false, false, false, true},
};

} // namespace

BOOST_DATA_TEST_CASE(ATargetThatSaysThatItLeavesIsLeftAlone, data::make(LeavingShapes))
{
    // Guards against requests to targets that say in their answers that they are leaving.
    constexpr int Targets = 4;
    constexpr Milliseconds Time{2500};
    PauseSite site(sample.daemons, Targets, sample.isStream, 60);
    site.run(WarmUp);
    const MonotonicTime begin = site.now();
    if (sample.isStoreAway)
        site.site().store().refuse(standin::StoreEmulator::Door::First, true);
    site.targets().leave(sample.leaving, sample.form);
    site.run(Time);
    if (sample.isEntryLost)
        site.targets().setEntry(0, false);
    site.run(Milliseconds(1000));
    if (sample.isEntryLost)
        site.targets().setEntry(0, true);
    if (sample.startsAgain)
        site.targets().startAgain(0);
    site.run(Time);
    const MonotonicTime end = site.now();
    const int before = site.targets().received(0);
    site.run(CountTime);
    const int after = site.targets().received(0) - before;
    site.finish();
    const double served = servedShare(site.outcomes(), begin, end);
    const standin::PauseChecks &checks = site.targets().checks();
    BOOST_TEST_MESSAGE(sample << ": " << checks.afterLeaving() << " requests later, served "
                              << served << ", " << after << " at the first after");
    BOOST_TEST(checks.broken().join(u'\n').toStdString() == "");
    BOOST_TEST(site.checks().broken().join(u'\n').toStdString() == "");
    BOOST_TEST(served >= 0.97);
    if (sample.startsAgain)
        BOOST_TEST(after > 0);
}
