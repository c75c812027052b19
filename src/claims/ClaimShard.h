#pragma once

#include "claims/BatchWindow.h"
#include "claims/ClaimCounts.h"
#include "claims/ClaimOperation.h"
#include "claims/ClaimSettings.h"
#include "claims/SegmentUpdate.h"
#include "configuration/CallbackGuard.h"
#include "platformstore/KeyValueStore.h"

#include <functional>
#include <memory>
#include <vector>

namespace cranberry {

class TimerService;
class TimerSubscription;

/// Applies operations to one shard in the platform's store.
/// Processes operations in rounds, one round at a time: read the head unless it is cached, decide,
/// seal the segment if it is full, and compare-and-swap the head.
/// The outcome of a write without an answer is determined by reading the head and the segments
/// sealed since. The claim's attempt is stored there, or the head has another revision and the
/// write can no longer take effect, or the same write is tried again.
/// Thread safety: only from the thread of the event loop.
class ClaimShard
{
public:
    using Callback = std::function<void(const ClaimOutcome &outcome)>;

    /// All of these outlive the shard.
    struct Dependencies {
        KeyValueStore &platform;
        TimerService &timers;
        const std::function<qint64()> &clock;
        const ClaimSettings &settings;
    };

    ClaimShard(int shard, const Dependencies &dependencies);
    ~ClaimShard();
    ClaimShard(const ClaimShard &) = delete;
    ClaimShard &operator=(const ClaimShard &) = delete;

    /// Performs @p operation and calls @p callback once, possibly before returning. If @p mayBatch,
    /// the operation may wait for others to share its write.
    void submit(const ClaimOperation &operation, bool mayBatch, Callback callback);

    /// How long an operation that may be batched waits for others at present.
    Milliseconds window() const;

    const ClaimCounts &counts() const { return m_counts; }

private:
    struct PendingOperation {
        ClaimOperation operation;
        Callback callback;
        MonotonicTime deadline;
        /// A write of this operation was not answered.
        bool mayBeStored = false;
    };

    void startRound();
    void advanceRound();
    void scheduleRetry();
    void readHead();
    void onHeadRead(const Result<KeyValue> &head);
    void readSealed(const QList<SealedSegment> &missing);
    void onSealedRead(const SealedSegment &sealed, const Result<KeyValue> &value);
    void decide();
    void finishSettled(const SegmentUpdate &update);
    void writeSeal(const SegmentUpdate &update);
    void onSealWritten(const SegmentUpdate &update, const SwapResult &result);
    void dropExpiredSegments(bool removeFromStore);
    void writeHead(const SegmentUpdate &update);
    void onHeadWritten(const SegmentUpdate &update, const SwapResult &result);
    void failOverdueOperations();
    void failRound();
    void endRound();
    void finish(const PendingOperation &entry, ClaimOutcome::Kind kind,
                const Claim &holder = Claim());

    const int m_shard;
    KeyValueStore &m_platform;
    TimerService &m_timers;
    const std::function<qint64()> &m_clock;
    const ClaimSettings &m_settings;

    std::vector<PendingOperation> m_queue;
    std::vector<PendingOperation> m_roundOperations;
    bool m_isRoundActive = false;
    /// True if the head was read in this round.
    bool m_headIsFresh = false;
    bool m_headIsKnown = false;
    ClaimSegment m_head;
    Revision m_headRevision;
    SealedClaims m_sealedClaims;
    /// Revision of the sealed segment that the head being written references.
    Revision m_sealedRevision;
    int m_pendingSealedReads = 0;
    bool m_hasSealedReadFailed = false;
    ArrivalRate m_arrivalRate;
    std::unique_ptr<TimerSubscription> m_windowTimer;
    std::unique_ptr<TimerSubscription> m_retryTimer;
    ClaimCounts m_counts;
    internal::CallbackGuard m_life;
};

} // namespace cranberry
