// Tests the bounds on the targets that one request crashes, or requests with one part in their
// prompts, over many interleavings of messages.
#define BOOST_TEST_MODULE CrashInterleavings
#include <boost/test/unit_test.hpp>

#include "quarantine/CrashLedger.h"
#include "quarantine/CrashRules.h"
#include "support/CrashSimulation.h"

#include <QHashSeed>

#include <algorithm>

using namespace cranberry;
using test::CrashSimulationOptions;
using test::CrashSimulationResult;

namespace {

/// Makes the simulations play alike in each process.
struct DeterministicHashes {
    DeterministicHashes() { QHashSeed::setDeterministicGlobalSeed(); }
};

constexpr quint32 Seeds = 40;
constexpr Milliseconds SilentProofTime{650};

/// Rules of the platform for a harmful part.
constexpr int MaxLateRuns = 3;
constexpr double MinShareRun = 0.5;
constexpr Milliseconds SoundInterval{25};
constexpr Milliseconds RareSoundInterval{167};

CrashSimulationOptions partOptions(Milliseconds soundInterval = SoundInterval)
{
    CrashSimulationOptions options;
    options.isInPart = true;
    options.soundInterval = soundInterval;
    // The crash follows 200 ms after the begin of the run.
    options.proofTime = Milliseconds(250);
    return options;
}

/// Plays requests with a harmful part with all seeds, and checks the bounds of each.
void playParts(const char *name, CrashSimulationOptions options, int maxMore = 0)
{
    int most = 0;
    int mostLate = 0;
    double leastRun = 1;
    for (options.seed = 1; options.seed <= Seeds; ++options.seed) {
        const CrashSimulationResult result = test::simulateCrashes(options);
        // Runs that nobody knew of, trials that nobody voted on, and three with votes.
        const int bound = result.uninformed + result.withoutVotes + 2 * MaxPartTrials - 1 + maxMore;
        const double share =
            result.soundLater == 0 ? 1 : double(result.soundRanLater) / result.soundLater;
        BOOST_TEST_CONTEXT(name << ", seed " << options.seed)
        {
            BOOST_TEST(result.crashes <= bound);
            BOOST_TEST(result.late <= MaxLateRuns);
            BOOST_TEST(share >= MinShareRun);
        }
        most = std::max(most, result.crashes);
        mostLate = std::max(mostLate, result.late);
        leastRun = std::min(leastRun, share);
    }
    BOOST_TEST_MESSAGE(name << ": " << most << " crashes at most, " << mostLate
                            << " late runs at most, " << leastRun << " of sound requests run");
}

/// Plays all seeds, checks the bound of each, and returns the largest number of crashes.
int playAll(const char *name, CrashSimulationOptions options, int maxMore = 0)
{
    int most = 0;
    for (options.seed = 1; options.seed <= Seeds; ++options.seed) {
        const CrashSimulationResult result = test::simulateCrashes(options);
        // Runs that nobody knew of, trials that nobody voted on, and two with votes.
        const int bound = result.uninformed + result.withoutVotes + MaxSuspicions - 1 + maxMore;
        BOOST_TEST_CONTEXT(name << ", seed " << options.seed)
        BOOST_TEST(result.crashes <= bound);
        most = std::max(most, result.crashes);
    }
    BOOST_TEST_MESSAGE(name << ": " << most << " crashes at most");
    return most;
}

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(DeterministicHashes);

BOOST_AUTO_TEST_CASE(ThreeTargetsWhenProofIsFasterThanTheNextRequest)
{
    CrashSimulationOptions options;
    for (const int daemons : {2, 6, 16, 100}) {
        options.daemons = daemons;
        options.duration = Milliseconds(daemons > 16 ? 6000 : 30'000);
        BOOST_TEST(playAll("reset", options) <= MaxSuspicions);
    }
}

BOOST_AUTO_TEST_CASE(ThreeTargetsWhenTargetsFallSilent)
{
    CrashSimulationOptions options;
    options.proofTime = SilentProofTime;
    BOOST_TEST(playAll("silent", options) <= MaxSuspicions);
}

BOOST_AUTO_TEST_CASE(ThreeTargetsWhenMessagesAreLate)
{
    CrashSimulationOptions options;
    options.maxDelay = Milliseconds(150);
    BOOST_TEST(playAll("late", options) <= MaxSuspicions);
}

BOOST_AUTO_TEST_CASE(LostMessagesDelayTheNewsByAFewRuns)
{
    CrashSimulationOptions options;
    options.loss = 0.3;
    playAll("lossy", options);
    options.proofTime = SilentProofTime;
    playAll("lossy, silent", options);
    options.requestInterval = Milliseconds(20);
    playAll("lossy, silent, 50 a second", options);
}

BOOST_AUTO_TEST_CASE(KilledDaemonsDoNotStartItAnew)
{
    CrashSimulationOptions options;
    options.killInterval = Milliseconds(700);
    playAll("killed", options);
    options.loss = 0.1;
    options.proofTime = SilentProofTime;
    playAll("killed, lossy, silent", options);
}

BOOST_AUTO_TEST_CASE(ADaemonThatIsCutOffAddsThreeAtMost)
{
    CrashSimulationOptions options;
    options.cutAt = Milliseconds(50);
    playAll("cut off", options, MaxSuspicions);
    options.proofTime = SilentProofTime;
    playAll("cut off, silent", options, MaxSuspicions);
}

BOOST_AUTO_TEST_CASE(PartsAreHeldBackByFleetsOfAllSizes)
{
    for (const int daemons : {2, 6, 16, 100}) {
        CrashSimulationOptions options = partOptions();
        options.daemons = daemons;
        options.duration = Milliseconds(daemons > 16 ? 14'000 : 30'000);
        playParts("part", options);
    }
}

BOOST_AUTO_TEST_CASE(PartsAreHeldBackWhenMessagesAreLateOrLost)
{
    CrashSimulationOptions options = partOptions();
    options.maxDelay = Milliseconds(150);
    playParts("part, late", options);
    options.maxDelay = Milliseconds(5);
    options.loss = 0.3;
    playParts("part, lossy", options);
    options.proofTime = Milliseconds(850);
    playParts("part, lossy, silent", options);
}

BOOST_AUTO_TEST_CASE(PartsAreHeldBackWhileDaemonsAreKilled)
{
    CrashSimulationOptions options = partOptions();
    options.killInterval = Milliseconds(700);
    playParts("part, killed", options);
    options.loss = 0.1;
    options.proofTime = Milliseconds(850);
    playParts("part, killed, lossy, silent", options);
}

BOOST_AUTO_TEST_CASE(PartsAreHeldBackIfADaemonIsCutOff)
{
    CrashSimulationOptions options = partOptions();
    options.cutAt = Milliseconds(50);
    playParts("part, cut off", options, 2 * MaxPartTrials - 1);
}

BOOST_AUTO_TEST_CASE(RareSoundRequestsWithASharedPartStillRun)
{
    CrashSimulationOptions options = partOptions(RareSoundInterval);
    playParts("part, sound requests rare", options);
    options.firstParts = 1;
    playParts("part, sound requests rare, one first part", options);
    options.proofTime = Milliseconds(850);
    playParts("part, sound requests rare, one first part, silent", options);
    options.requestInterval = Milliseconds(50);
    playParts("part, sound requests rare, one first part, silent, 20 a second", options);
    options.requestInterval = Milliseconds(333);
    options.soundInterval = Milliseconds(1000);
    playParts("part, a sound request a second, one first part, silent", options);
    options.requestInterval = Milliseconds(50);
    playParts("part, a sound request a second, one first part, silent, 20 a second", options);
}

BOOST_AUTO_TEST_CASE(AWithdrawnRunThatWasDroppedStaysWithdrawn)
{
    // Guards against a run that ended being taken for one that still runs, from an old message.
    MonotonicTime now{std::chrono::hours(1)};
    CrashLedger::Callbacks callbacks;
    callbacks.send = [](const VmId &, const CrashMessage &) {};
    callbacks.broadcast = [](const CrashMessage &) {};
    callbacks.members = [] { return QList<VmId>(); };
    callbacks.random = [] { return quint64(0); };
    callbacks.trialDecided = [](const RequestFingerprint &, SuspicionId, bool) {};
    callbacks.changed = [](const CrashRecord &, const CrashSuspicion &) {};
    CrashLedger ledger(VmId(QStringLiteral("self")), callbacks);
    const VmId owner(QStringLiteral("owner"));
    const RequestFingerprint part = partFingerprint(ServiceId(QStringLiteral("s")), "a0");
    const auto receive = [&](qint64 id, SuspicionState state, const VmId &from) {
        CrashSuspicion run;
        run.id = SuspicionId(id);
        run.daemon = owner;
        run.target = TargetId(QString::number(id));
        run.state = state;
        run.changedAt = now;
        CrashMessage message;
        message.records = {{{part, {}, QStringLiteral("a0")}, {run}, {}}};
        ledger.handle(from, message, now);
    };
    constexpr qint64 Trial = 1;
    receive(Trial, SuspicionState::Running, owner);
    BOOST_TEST(ledger.standing(part, SuspicionId(), now).isRunning);
    receive(Trial, SuspicionState::Withdrawn, owner);
    for (qint64 id = Trial + 1; id <= Trial + MaxRunsPerRecord; ++id)
        receive(id, SuspicionState::Suspected, owner);
    receive(Trial, SuspicionState::Running, VmId(QStringLiteral("other")));
    BOOST_TEST(!ledger.standing(part, SuspicionId(), now).isRunning);
    now += RunLease + Milliseconds(1000);
    BOOST_TEST(ledger.standing(part, SuspicionId(), now).crashes == int(MaxRunsPerRecord));
}
