#include "claims/ClaimShard.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"

#include <algorithm>

namespace cranberry {

ClaimShard::ClaimShard(int shard, const Surroundings &surroundings)
    : m_shard(shard)
    , m_platform(surroundings.platform)
    , m_timers(surroundings.timers)
    , m_clock(surroundings.clock)
    , m_settings(surroundings.settings)
{
}

ClaimShard::~ClaimShard() = default;

void ClaimShard::submit(const ClaimOperation &operation, bool mayGather, Callback callback)
{
    m_waiting.push_back(
        {operation, std::move(callback), m_timers.now() + m_settings.settleLimit, false});
    m_rate = afterArrival(m_rate, m_timers.now());
    if (m_inRound)
        return;
    if (!mayGather || window().count() == 0) {
        startRound();
        return;
    }
    if (!m_windowEnd)
        m_windowEnd = m_timers.after(window(), [this] { startRound(); });
}

Milliseconds ClaimShard::window() const
{
    return gatherWindow(m_rate, m_timers.now(), m_settings.longestWindow);
}

void ClaimShard::startRound()
{
    m_windowEnd.reset();
    if (m_inRound || m_waiting.empty())
        return;
    m_inRound = true;
    m_headIsFresh = false;
    const auto taken = std::min(m_waiting.size(), size_t(m_settings.fullSegment));
    const auto end = m_waiting.begin() + qsizetype(taken);
    m_round.assign(std::make_move_iterator(m_waiting.begin()), std::make_move_iterator(end));
    m_waiting.erase(m_waiting.begin(), end);
    step();
}

void ClaimShard::step()
{
    dropOverdue();
    if (m_round.empty())
        endRound();
    else if (!m_headIsKnown)
        readHead();
    else if (const auto missing = m_sealed.missing(m_head.sealed); !missing.isEmpty())
        readSealed(missing);
    else
        decide();
}

void ClaimShard::stepLater()
{
    m_pause = m_timers.after(m_settings.settlePause, [this] { step(); });
}

void ClaimShard::readHead()
{
    ++m_counts.reads;
    m_platform.read(claimHeadKey(m_shard),
                    m_life.wrap([this](const Result<KeyValue> &head) { headRead(head); }));
}

void ClaimShard::headRead(const Result<KeyValue> &head)
{
    if (!head) {
        failRound();
        return;
    }
    const bool isAbsent = head.value().revision == Revision(0);
    const auto segment = isAbsent ? ClaimSegment() : decodeSegment(head.value().value);
    if (!segment) {
        failRound();
        return;
    }
    m_head = *segment;
    m_headRevision = head.value().revision;
    m_headIsKnown = true;
    m_headIsFresh = true;
    step();
}

void ClaimShard::readSealed(const QList<SealedSegment> &missing)
{
    m_sealedReads = int(missing.size());
    m_sealedReadFailed = false;
    for (const SealedSegment &sealed : missing) {
        ++m_counts.reads;
        m_platform.read(sealedSegmentKey(m_shard, sealed),
                        m_life.wrap([this, sealed](const Result<KeyValue> &value) {
                            sealedRead(sealed, value);
                        }));
    }
}

void ClaimShard::sealedRead(const SealedSegment &sealed, const Result<KeyValue> &value)
{
    const auto segment = value ? decodeSegment(value.value().value) : std::nullopt;
    if (segment)
        m_sealed.insert(sealed, value.value().revision, *segment);
    else
        m_sealedReadFailed = true;
    if (--m_sealedReads > 0)
        return;
    if (m_sealedReadFailed)
        failRound(); // it may be that the head is old and names what was trimmed since
    else
        step();
}

// Nothing may be decided without the head and every sealed segment: a claim that stands there
// unseen would let its request be sent a second time. While the service is down a refusal at
// once is better than a wait, even for a claim that may stand.
void ClaimShard::failRound()
{
    m_headIsKnown = false;
    for (const Entry &entry : std::exchange(m_round, {}))
        finish(entry, ClaimOutcome::Kind::Unavailable);
    endRound();
}

void ClaimShard::decide()
{
    QList<ClaimOperation> operations;
    for (const Entry &entry : m_round)
        operations.append(entry.operation);
    const SegmentUpdate update =
        decideOperations(m_head, m_headRevision, m_sealed, operations, m_clock(),
                         m_settings.fullSegment, m_settings.retention);
    // A known head may be old: who holds a key, or what was released, is said of a fresh one.
    const bool settlesAny =
        std::any_of(update.steps.begin(), update.steps.end(), [](OperationStep operationStep) {
            return operationStep == OperationStep::Held || operationStep == OperationStep::Done;
        });
    if (settlesAny && !m_headIsFresh) {
        readHead();
        return;
    }
    settle(update);
    if (m_round.empty())
        endRound();
    else if (update.seals)
        writeSeal(update);
    else
        writeHead(update);
}

void ClaimShard::settle(const SegmentUpdate &update)
{
    std::vector<Entry> left;
    std::vector<Entry> round = std::move(m_round);
    m_round.clear();
    for (size_t i = 0; i < round.size(); ++i) {
        const OperationStep operationStep = update.steps[qsizetype(i)];
        if (operationStep == OperationStep::Done)
            finish(round[i], ClaimOutcome::Kind::Done);
        else if (operationStep == OperationStep::Held)
            finish(round[i], ClaimOutcome::Kind::Held, update.holders[qsizetype(i)]);
        else
            left.push_back(std::move(round[i]));
    }
    m_round = std::move(left);
}

void ClaimShard::writeSeal(const SegmentUpdate &update)
{
    ClaimSegment content = m_head;
    content.sealed.clear();
    ++m_counts.writes;
    m_platform.compareAndSwap(
        sealedSegmentKey(m_shard, update.next.sealed.last()), Revision(0), encodeSegment(content),
        std::nullopt,
        m_life.wrap([this, update](const SwapResult &result) { sealWritten(update, result); }));
}

// The head goes on only once the sealed segment certainly stands. What stands under its name
// already is the same: the name holds the revision whose claims it has.
void ClaimShard::sealWritten(const SegmentUpdate &update, const SwapResult &result)
{
    const bool stands =
        result.outcome == SwapOutcome::Swapped || result.outcome == SwapOutcome::Conflict;
    if (stands) {
        m_sealRevision = result.revision;
        writeHead(update);
    } else if (result.outcome == SwapOutcome::NotWritten) {
        failRound();
    } else {
        stepLater();
    }
}

void ClaimShard::writeHead(const SegmentUpdate &update)
{
    ++m_counts.writes;
    m_platform.compareAndSwap(
        claimHeadKey(m_shard), m_headRevision, encodeSegment(update.next), std::nullopt,
        m_life.wrap([this, update](const SwapResult &result) { headWritten(update, result); }));
}

void ClaimShard::headWritten(const SegmentUpdate &update, const SwapResult &result)
{
    if (result.outcome == SwapOutcome::NotWritten) {
        failRound();
        return;
    }
    if (result.outcome == SwapOutcome::Conflict) {
        m_headIsKnown = false;
        step();
        return;
    }
    // Failure: the write took effect and its answer was lost, or it is still on its way. It
    // shows as Unknown. Neither "won" nor "not claimed" may be said before a read tells.
    if (result.outcome == SwapOutcome::Unknown) {
        for (Entry &entry : m_round)
            entry.mayStand = true;
        m_headIsKnown = false;
        stepLater();
        return;
    }
    if (update.seals)
        m_sealed.insert(update.next.sealed.last(), m_sealRevision, m_head);
    m_head = update.next;
    m_headRevision = result.revision;
    forgetSegments(update.seals);
    SegmentUpdate done = update;
    done.steps.removeIf(
        [](OperationStep s) { return s == OperationStep::Done || s == OperationStep::Held; });
    std::replace(done.steps.begin(), done.steps.end(), OperationStep::Write, OperationStep::Done);
    settle(done);
    step();
}

// Whoever sealed removes what its head no longer names from the service too.
void ClaimShard::forgetSegments(bool remove)
{
    for (const auto &[place, revision] : m_sealed.keepOnly(m_head.sealed)) {
        if (!remove)
            continue;
        ++m_counts.writes;
        m_platform.remove(sealedSegmentKey(m_shard, place), revision, [](SwapResult) {});
    }
}

void ClaimShard::dropOverdue()
{
    const MonotonicTime now = m_timers.now();
    std::vector<Entry> left;
    for (Entry &entry : std::exchange(m_round, {})) {
        if (entry.deadline <= now)
            finish(entry, ClaimOutcome::Kind::Unavailable);
        else
            left.push_back(std::move(entry));
    }
    m_round = std::move(left);
}

void ClaimShard::endRound()
{
    m_inRound = false;
    if (m_waiting.empty())
        return;
    m_windowEnd = m_timers.after(window(), [this] { startRound(); });
}

void ClaimShard::finish(const Entry &entry, ClaimOutcome::Kind kind, const Claim &holder)
{
    if (entry.operation.kind == ClaimOperation::Kind::Claim) {
        m_counts.won += kind == ClaimOutcome::Kind::Done;
        m_counts.held += kind == ClaimOutcome::Kind::Held;
        m_counts.unavailable += kind == ClaimOutcome::Kind::Unavailable;
    }
    entry.callback({kind, holder, entry.mayStand});
}

} // namespace cranberry
