// Which generations of an engine that leaves are copied first, and to which engines.
#define BOOST_TEST_MODULE MoveChoice
#include <boost/test/unit_test.hpp>

#include "relay/MoveChoice.h"
#include "relay/TargetRecord.h"

#include <vector>

using namespace cranberry;
using namespace std::chrono_literals;

namespace {

const MonotonicTime Now{1h};

EngineTraits traits()
{
    EngineTraits engine;
    engine.memory = Tokens(34000);
    engine.batchSlots = 24;
    engine.bytesPerToken = Bytes(327680);
    engine.linkMegabitsPerSecond = 47000;
    return engine;
}

TargetRecord engine(const char *id, const char *dataCentre, qint64 tokens = 0)
{
    TargetRecord record;
    record.entry.id = TargetId(QString::fromLatin1(id));
    record.entry.dataCentre = DataCentreId(QString::fromLatin1(dataCentre));
    record.ownTokens = Tokens(tokens);
    return record;
}

MoveNeed moveOf(qint64 held)
{
    MoveNeed move;
    move.need.dataCentre = DataCentreId(QStringLiteral("here"));
    move.need.tokens = Tokens(held + 500);
    move.need.engine = traits();
    move.held = Tokens(held);
    move.sourceLinkFree = Now;
    return move;
}

MoveCandidate candidate(qint64 made, qint64 left)
{
    return {Tokens(3000), Tokens(made), Tokens(left), 1500ms};
}

/// Copies of generations of @p held tokens each that are complete when the engine leaves after
/// @p notice; a copy begins when both links are free and keeps both.
int copiedInTime(std::vector<TargetRecord> engines, const std::vector<qint64> &held,
                 Milliseconds notice, bool knowsLinks)
{
    MonotonicTime sourceFree = Now;
    std::vector<MonotonicTime> linkFree;
    linkFree.reserve(engines.size());
    for (const TargetRecord &engine : engines)
        linkFree.push_back(std::max(Now, engine.linkFreeAt));
    int copied = 0;
    for (const qint64 tokens : held) {
        MoveNeed move = moveOf(tokens);
        QList<const TargetRecord *> targets;
        for (std::size_t i = 0; i < engines.size(); ++i) {
            engines[i].linkFreeAt = knowsLinks ? linkFree[i] : MonotonicTime();
            targets.append(&engines[i]);
        }
        move.sourceLinkFree = knowsLinks ? sourceFree : MonotonicTime();
        const MovePick pick = chooseDestination(targets, move, Now);
        const std::size_t chosen = std::size_t(targets.indexOf(pick.target));
        const MonotonicTime done = std::max(sourceFree, linkFree[chosen]) + pick.copyTime;
        sourceFree = done;
        linkFree[chosen] = done;
        engines[chosen].ownTokens += move.need.tokens;
        copied += done <= Now + notice ? 1 : 0;
    }
    return copied;
}

} // namespace

BOOST_AUTO_TEST_CASE(CopyTimeFollowsTheLink)
{
    BOOST_TEST(copyTime(traits(), Tokens(4000), false).count() == 223);
    BOOST_TEST(copyTime(traits(), Tokens(4000), true).count() == 446);
    // Without figures of the link, those of a usual one.
    BOOST_TEST(copyTime(EngineTraits(), Tokens(4000), false).count() == 220);
}

BOOST_AUTO_TEST_CASE(NearDestinationIsPreferred)
{
    const TargetRecord near = engine("near", "here", 10000);
    const TargetRecord far = engine("far", "there", 0);
    BOOST_TEST((chooseDestination({&near, &far}, moveOf(4000), Now).target == &near));
    const TargetRecord full = engine("full", "here", 32000);
    BOOST_TEST((chooseDestination({&full, &far}, moveOf(4000), Now).target == &far));
}

// Two engines left together, and the daemons moved their generations to the same third one. The
// copies of the second engine waited for the link of the third while its own was idle, and five
// streams ended with it.
BOOST_AUTO_TEST_CASE(TakenLinkIsAvoided)
{
    TargetRecord taken = engine("taken", "here");
    taken.linkFreeAt = Now + 700ms;
    const TargetRecord idle = engine("idle", "there", 3000);
    const MovePick pick = chooseDestination({&taken, &idle}, moveOf(3000), Now);
    BOOST_TEST((pick.target == &idle));
    BOOST_TEST((pick.copyDone - Now == pick.copyTime));
}

BOOST_AUTO_TEST_CASE(SuspectIsTheLastChoice)
{
    TargetRecord suspect = engine("suspect", "here");
    suspect.suspectUntil = Now + 1s;
    const TargetRecord busy = engine("busy", "there", 20000);
    BOOST_TEST((chooseDestination({&suspect, &busy}, moveOf(3000), Now).target == &busy));
    BOOST_TEST((chooseDestination({&suspect}, moveOf(3000), Now).target == &suspect));
    BOOST_TEST((chooseDestination({}, moveOf(3000), Now).target == nullptr));
}

BOOST_AUTO_TEST_CASE(WorthForLinkTimeGoesFirst)
{
    // Much to come for the same copy.
    BOOST_TEST(movePriority(candidate(100, 1500)) > movePriority(candidate(100, 400)));
    // It ends before its engine leaves, as far as is known.
    BOOST_TEST(movePriority(candidate(600, 400)) > movePriority(candidate(900, 100)));
}

// An engine with seven generations leaves 1.7 s after its notice while copies from another engine
// take the links of two of the four others for 1.2 s. By load alone 2 of its copies are complete in
// time, with the links known 6.
BOOST_AUTO_TEST_CASE(KnownLinksSaveGenerations)
{
    const std::vector<qint64> held{3200, 3400, 3600, 3800, 4000, 4200, 4400};
    std::vector<TargetRecord> engines{engine("a", "here", 2000), engine("b", "here", 14000),
                                      engine("c", "there", 0), engine("d", "there", 1000)};
    engines[0].linkFreeAt = Now + 1200ms;
    engines[2].linkFreeAt = Now + 1200ms;
    const int byLoad = copiedInTime(engines, held, 1700ms, false);
    const int byLinks = copiedInTime(engines, held, 1700ms, true);
    BOOST_TEST_MESSAGE("complete by load " << byLoad << ", with links " << byLinks);
    BOOST_TEST(byLinks > byLoad);
}

namespace {

/// Copies of one engine's generations over its link, as they are ordered and carried.
struct Evacuation {
    static constexpr Milliseconds Copy{210};
    static constexpr Milliseconds LastPart{5};
    static constexpr Milliseconds Notice{1300};
    static constexpr Milliseconds LastMoment{150};

    /// @p begins decides whether a copy that is there at the given time is begun. Returns how many
    /// generations are away when the engine ends @p stay after its word.
    template <typename Begins>
    static int saved(int generations, Milliseconds stay, Begins begins)
    {
        const MonotonicTime leavesAt = Now + Notice;
        MonotonicTime linkFree = Now;
        int copied = 0;
        int waiting = 0;
        for (int i = 0; i < generations; ++i) {
            const bool isBegun = begins(linkFree + Copy, leavesAt, Now);
            isBegun ? ++copied : ++waiting;
            linkFree += isBegun ? Copy : Milliseconds(0);
        }
        // Last parts are ordered at the last moment and wait behind the copies before them.
        linkFree = std::max(linkFree, leavesAt - LastMoment) + copied * LastPart;
        const bool isInTime = linkFree <= Now + stay;
        int saved = isInTime ? copied : 0;
        MonotonicTime now = std::max(linkFree, leavesAt);
        for (int i = 0; i < waiting && begins(now + Copy, leavesAt, now); ++i) {
            now += Copy + LastPart;
            saved += now <= Now + stay ? 1 : 0;
        }
        return saved;
    }
};

} // namespace

// Two engines left 1.66 s after they said so and lost all their generations: the copies were
// ordered at once, the last parts waited behind them, and not one was away in time. One link, 12
// copies.
BOOST_AUTO_TEST_CASE(CopiesThatComeTooLateDoNotStopTheOthers)
{
    const auto atOnce = [](MonotonicTime copied, MonotonicTime leavesAt, MonotonicTime) {
        return copied <= leavesAt + 700ms;
    };
    BOOST_TEST(Evacuation::saved(12, 1660ms, atOnce) == 0);
    BOOST_TEST(Evacuation::saved(12, 1660ms, shouldStartCopy) == 7);
    // One that stays longer saves more.
    BOOST_TEST(Evacuation::saved(12, 2100ms, shouldStartCopy) == 9);
    BOOST_TEST(Evacuation::saved(3, 1660ms, shouldStartCopy) == 3);
}
