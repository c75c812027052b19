// The floating-point keys that generations and targets are sorted by, for extreme inputs.
#define BOOST_TEST_MODULE SortKeysAreNumbers
#include <boost/test/unit_test.hpp>

#include "relay/MoveChoice.h"
#include "relay/TargetRecord.h"

#include <cmath>
#include <limits>
#include <vector>

using namespace cranberry;
using namespace std::chrono_literals;

namespace {

const MonotonicTime Now{1h};
/// Sums of a few of these do not overflow.
constexpr qint64 Huge = std::numeric_limits<qint64>::max() / 16;
constexpr int HugeCount = std::numeric_limits<int>::max() / 16;

const std::vector<qint64> &amounts()
{
    static const std::vector<qint64> values{-Huge, -1, 0, 1, 4000, Huge};
    return values;
}

TargetRecord recordOf(qint64 tokens, int running, double failureRate, MonotonicTime lastOutcomeAt)
{
    TargetRecord record;
    record.entry.id = TargetId(QStringLiteral("target"));
    record.ownTokens = Tokens(tokens);
    record.ownBackup = Tokens(tokens);
    record.ownUnread = Tokens(tokens);
    record.ownRunning = running;
    record.failureRate = failureRate;
    record.lastOutcomeAt = lastOutcomeAt;
    PeerLoad load;
    load.tokens = Tokens(tokens);
    load.backup = Tokens(tokens);
    load.unread = Tokens(tokens);
    load.running = running;
    load.heardAt = Now;
    record.peers.insert(VmId(QStringLiteral("peer")), load);
    EngineReport report;
    report.used = Tokens(tokens);
    report.running = running;
    record.report = report;
    record.reportedAt = Now;
    return record;
}

TargetNeed needOf(qint64 tokens, qint64 memory, int slots)
{
    TargetNeed need;
    need.tokens = Tokens(tokens);
    need.engine = EngineTraits();
    need.engine->memory = Tokens(memory);
    need.engine->batchSlots = slots;
    return need;
}

void requireNumber(const TargetRecord &record, const TargetNeed &need)
{
    const QList<ScoredTarget> ranked = rankTargets({&record}, need, Now);
    BOOST_REQUIRE_EQUAL(ranked.size(), 1);
    BOOST_REQUIRE(!std::isnan(ranked.first().score));
}

} // namespace

// Guards against a crash: std::sort() and std::stable_sort() access memory outside the list if a
// key is not a number.
BOOST_AUTO_TEST_CASE(MovePrioritiesAreNumbers)
{
    for (const qint64 prompt : amounts())
        for (const qint64 output : amounts())
            for (const qint64 remaining : amounts())
                for (const qint64 notice : amounts())
                    BOOST_REQUIRE(
                        !std::isnan(movePriority({Tokens(prompt), Tokens(output), Tokens(remaining),
                                                  Milliseconds(notice)})));
}

BOOST_AUTO_TEST_CASE(ScoresOfEnginesAreNumbers)
{
    for (const qint64 tokens : amounts())
        for (const int running : {-HugeCount, -1, 0, 1, HugeCount})
            for (const double failureRate : {0.0, std::numeric_limits<double>::min(), 1.0})
                for (const MonotonicTime lastOutcomeAt :
                     {MonotonicTime(), Now - 1s, Now, Now + 1s}) {
                    const TargetRecord record =
                        recordOf(tokens, running, failureRate, lastOutcomeAt);
                    for (const qint64 memory : amounts())
                        for (const int slots : {-HugeCount, -1, 0, 1, HugeCount})
                            requireNumber(record, needOf(tokens, memory, slots));
                }
}

BOOST_AUTO_TEST_CASE(ScoresOfPlainTargetsAreNumbers)
{
    for (const int running : {-HugeCount, -1, 0, 1, HugeCount})
        for (const int slots : {-HugeCount, -1, 0, 1, HugeCount}) {
            TargetRecord record = recordOf(0, running, 1, Now);
            record.entry.slots = slots;
            requireNumber(record, TargetNeed());
        }
}
