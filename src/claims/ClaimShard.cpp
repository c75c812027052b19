#include "claims/ClaimShard.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"

#include <algorithm>

namespace cranberry {

ClaimShard::ClaimShard(int shard, const Dependencies &dependencies)
    : m_shard(shard)
    , m_platform(dependencies.platform)
    , m_timers(dependencies.timers)
    , m_clock(dependencies.clock)
    , m_settings(dependencies.settings)
{
}

ClaimShard::~ClaimShard() = default;

void ClaimShard::submit(const ClaimOperation &operation, bool mayBatch, Callback callback)
{
    m_queue.push_back(
        {operation, std::move(callback), m_timers.now() + m_settings.settleTimeout, false});
    m_arrivalRate = recordArrival(m_arrivalRate, m_timers.now());
    if (m_isRoundActive)
        return;
    if (!mayBatch || window().count() == 0) {
        startRound();
        return;
    }
    if (!m_windowTimer)
        m_windowTimer = m_timers.after(window(), [this] { startRound(); });
}

Milliseconds ClaimShard::window() const
{
    return batchWindow(m_arrivalRate, m_timers.now(), m_settings.maxBatchWindow);
}

void ClaimShard::startRound()
{
    m_windowTimer.reset();
    if (m_isRoundActive || m_queue.empty())
        return;
    m_isRoundActive = true;
    m_headIsFresh = false;
    const auto count = std::min(m_queue.size(), size_t(m_settings.maxSegmentClaims));
    const auto end = m_queue.begin() + qsizetype(count);
    m_roundOperations.assign(std::make_move_iterator(m_queue.begin()),
                             std::make_move_iterator(end));
    m_queue.erase(m_queue.begin(), end);
    advanceRound();
}

void ClaimShard::advanceRound()
{
    failOverdueOperations();
    if (m_roundOperations.empty())
        endRound();
    else if (!m_headIsKnown)
        readHead();
    else if (const auto missing = m_sealedClaims.findMissing(m_head.sealed); !missing.isEmpty())
        readSealed(missing);
    else
        decide();
}

void ClaimShard::scheduleRetry()
{
    m_retryTimer = m_timers.after(m_settings.settleRetryInterval, [this] { advanceRound(); });
}

void ClaimShard::readHead()
{
    ++m_counts.reads;
    m_platform.read(claimHeadKey(m_shard),
                    m_life.wrap([this](const Result<KeyValue> &head) { onHeadRead(head); }));
}

void ClaimShard::onHeadRead(const Result<KeyValue> &head)
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
    advanceRound();
}

void ClaimShard::readSealed(const QList<SealedSegment> &missing)
{
    m_pendingSealedReads = int(missing.size());
    m_hasSealedReadFailed = false;
    for (const SealedSegment &sealed : missing) {
        ++m_counts.reads;
        m_platform.read(sealedSegmentKey(m_shard, sealed),
                        m_life.wrap([this, sealed](const Result<KeyValue> &value) {
                            onSealedRead(sealed, value);
                        }));
    }
}

void ClaimShard::onSealedRead(const SealedSegment &sealed, const Result<KeyValue> &value)
{
    const auto segment = value ? decodeSegment(value.value().value) : std::nullopt;
    if (segment)
        m_sealedClaims.insert(sealed, value.value().revision, *segment);
    else
        m_hasSealedReadFailed = true;
    if (--m_pendingSealedReads > 0)
        return;
    if (m_hasSealedReadFailed)
        failRound(); // an outdated head may reference a segment that has been removed since
    else
        advanceRound();
}

// A round needs the head and every sealed segment: with an unread claim in one of them, its
// request could be sent a second time. While the store is down, operations fail at once instead
// of waiting, even those whose claim may be stored.
void ClaimShard::failRound()
{
    m_headIsKnown = false;
    for (const PendingOperation &entry : std::exchange(m_roundOperations, {}))
        finish(entry, ClaimOutcome::Kind::Unavailable);
    endRound();
}

void ClaimShard::decide()
{
    QList<ClaimOperation> operations;
    for (const PendingOperation &entry : m_roundOperations)
        operations.append(entry.operation);
    const SegmentUpdate update =
        decideOperations(m_head, m_headRevision, m_sealedClaims, operations, m_clock(),
                         m_settings.maxSegmentClaims, m_settings.retention);
    // A cached head may be outdated, so the outcomes Held and Done need a head read in this round.
    const bool settlesAnyOperation = std::any_of(
        update.decisions.begin(), update.decisions.end(), [](OperationDecision decision) {
            return decision == OperationDecision::Held || decision == OperationDecision::Done;
        });
    if (settlesAnyOperation && !m_headIsFresh) {
        readHead();
        return;
    }
    finishSettled(update);
    if (m_roundOperations.empty())
        endRound();
    else if (update.requiresSeal)
        writeSeal(update);
    else
        writeHead(update);
}

void ClaimShard::finishSettled(const SegmentUpdate &update)
{
    std::vector<PendingOperation> remaining;
    std::vector<PendingOperation> round = std::move(m_roundOperations);
    m_roundOperations.clear();
    for (size_t i = 0; i < round.size(); ++i) {
        const OperationDecision decision = update.decisions[qsizetype(i)];
        if (decision == OperationDecision::Done)
            finish(round[i], ClaimOutcome::Kind::Done);
        else if (decision == OperationDecision::Held)
            finish(round[i], ClaimOutcome::Kind::Held, update.holders[qsizetype(i)]);
        else
            remaining.push_back(std::move(round[i]));
    }
    m_roundOperations = std::move(remaining);
}

void ClaimShard::writeSeal(const SegmentUpdate &update)
{
    ClaimSegment content = m_head;
    content.sealed.clear();
    ++m_counts.writes;
    m_platform.compareAndSwap(
        sealedSegmentKey(m_shard, update.next.sealed.last()), Revision(0), encodeSegment(content),
        std::nullopt,
        m_life.wrap([this, update](const SwapResult &result) { onSealWritten(update, result); }));
}

// The head is replaced only after the sealed segment is known to be stored. A conflict means that
// the same content is stored already, since the key contains the revision of the sealed head.
void ClaimShard::onSealWritten(const SegmentUpdate &update, const SwapResult &result)
{
    const bool isStored =
        result.outcome == SwapOutcome::Swapped || result.outcome == SwapOutcome::Conflict;
    if (isStored) {
        m_sealedRevision = result.revision;
        writeHead(update);
    } else if (result.outcome == SwapOutcome::NotWritten) {
        failRound();
    } else {
        scheduleRetry();
    }
}

void ClaimShard::writeHead(const SegmentUpdate &update)
{
    ++m_counts.writes;
    m_platform.compareAndSwap(
        claimHeadKey(m_shard), m_headRevision, encodeSegment(update.next), std::nullopt,
        m_life.wrap([this, update](const SwapResult &result) { onHeadWritten(update, result); }));
}

void ClaimShard::onHeadWritten(const SegmentUpdate &update, const SwapResult &result)
{
    if (result.outcome == SwapOutcome::NotWritten) {
        failRound();
        return;
    }
    if (result.outcome == SwapOutcome::Conflict) {
        m_headIsKnown = false;
        advanceRound();
        return;
    }
    // The write took effect and its answer was lost, or it is still in flight. The outcome may only
    // be reported after another read has determined it.
    if (result.outcome == SwapOutcome::Unknown) {
        for (PendingOperation &entry : m_roundOperations)
            entry.mayBeStored = true;
        m_headIsKnown = false;
        scheduleRetry();
        return;
    }
    if (update.requiresSeal)
        m_sealedClaims.insert(update.next.sealed.last(), m_sealedRevision, m_head);
    m_head = update.next;
    m_headRevision = result.revision;
    dropExpiredSegments(update.requiresSeal);
    SegmentUpdate cancelAnswered = update;
    cancelAnswered.decisions.removeIf([](OperationDecision decision) {
        return decision == OperationDecision::Done || decision == OperationDecision::Held;
    });
    std::replace(cancelAnswered.decisions.begin(), cancelAnswered.decisions.end(),
                 OperationDecision::Write, OperationDecision::Done);
    finishSettled(cancelAnswered);
    advanceRound();
}

// The daemon that sealed a segment also removes from the store the segments that its new head no
// longer references.
void ClaimShard::dropExpiredSegments(bool removeFromStore)
{
    for (const auto &[reference, revision] : m_sealedClaims.retainOnly(m_head.sealed)) {
        if (!removeFromStore)
            continue;
        ++m_counts.writes;
        m_platform.remove(sealedSegmentKey(m_shard, reference), revision, [](SwapResult) {});
    }
}

void ClaimShard::failOverdueOperations()
{
    const MonotonicTime now = m_timers.now();
    std::vector<PendingOperation> remaining;
    for (PendingOperation &entry : std::exchange(m_roundOperations, {})) {
        if (entry.deadline <= now)
            finish(entry, ClaimOutcome::Kind::Unavailable);
        else
            remaining.push_back(std::move(entry));
    }
    m_roundOperations = std::move(remaining);
}

void ClaimShard::endRound()
{
    m_isRoundActive = false;
    if (m_queue.empty())
        return;
    m_windowTimer = m_timers.after(window(), [this] { startRound(); });
}

void ClaimShard::finish(const PendingOperation &entry, ClaimOutcome::Kind kind, const Claim &holder)
{
    if (entry.operation.kind == ClaimOperation::Kind::Claim) {
        m_counts.won += kind == ClaimOutcome::Kind::Done;
        m_counts.held += kind == ClaimOutcome::Kind::Held;
        m_counts.unavailable += kind == ClaimOutcome::Kind::Unavailable;
    }
    entry.callback({kind, holder, entry.mayBeStored});
}

} // namespace cranberry
