// Defines ClaimShard, which brings operations on one shard into the platform's service.
#pragma once

#include "claims/ClaimCounts.h"
#include "claims/ClaimOperation.h"
#include "claims/ClaimSettings.h"
#include "claims/GatherWindow.h"
#include "claims/SegmentUpdate.h"
#include "configuration/CallbackGuard.h"
#include "platformstore/KeyValueStore.h"

#include <functional>
#include <memory>
#include <vector>

namespace cranberry {

class TimerService;
class TimerSubscription;

/// Writes operations in rounds, one at a time: read the head unless it is known, decide, seal
/// if need be, compare-and-swap the head.
/// A write whose answer was lost is settled by reading again, in the head and in segments
/// sealed since: the claim's attempt either stands there, or the head has another revision
/// and the write can no longer take effect, or the same write is tried again.
/// Thread safety: only from the thread of the event loop.
class ClaimShard
{
public:
    using Callback = std::function<void(const ClaimOutcome &outcome)>;

    /// All of it outlives the shard.
    struct Surroundings {
        KeyValueStore &platform;
        TimerService &timers;
        const std::function<qint64()> &clock;
        const ClaimSettings &settings;
    };

    ClaimShard(int shard, const Surroundings &surroundings);
    ~ClaimShard();
    ClaimShard(const ClaimShard &) = delete;
    ClaimShard &operator=(const ClaimShard &) = delete;

    /// Does @p operation and calls back once, later or at once. @p mayGather: it may wait for
    /// others to be written with it.
    void submit(const ClaimOperation &operation, bool mayGather, Callback callback);

    /// How long an operation that may gather is held for others at present.
    Milliseconds window() const;

    const ClaimCounts &counts() const { return m_counts; }

private:
    struct Entry {
        ClaimOperation operation;
        Callback callback;
        MonotonicTime deadline;
        /// A write with this operation was not answered.
        bool mayStand = false;
    };

    void startRound();
    void step();
    void stepLater();
    void readHead();
    void headRead(const Result<KeyValue> &head);
    void readSealed(const QList<SealedSegment> &missing);
    void sealedRead(const SealedSegment &sealed, const Result<KeyValue> &value);
    void decide();
    void settle(const SegmentUpdate &update);
    void writeSeal(const SegmentUpdate &update);
    void sealWritten(const SegmentUpdate &update, const SwapResult &result);
    void forgetSegments(bool remove);
    void writeHead(const SegmentUpdate &update);
    void headWritten(const SegmentUpdate &update, const SwapResult &result);
    void dropOverdue();
    void failRound();
    void endRound();
    void finish(const Entry &entry, ClaimOutcome::Kind kind, const Claim &holder = Claim());

    const int m_shard;
    KeyValueStore &m_platform;
    TimerService &m_timers;
    const std::function<qint64()> &m_clock;
    const ClaimSettings &m_settings;

    std::vector<Entry> m_waiting;
    std::vector<Entry> m_round;
    bool m_inRound = false;
    /// The head was read in this round.
    bool m_headIsFresh = false;
    bool m_headIsKnown = false;
    ClaimSegment m_head;
    Revision m_headRevision;
    SealedClaims m_sealed;
    /// Revision of the sealed segment that the write under way names.
    Revision m_sealRevision;
    int m_sealedReads = 0;
    bool m_sealedReadFailed = false;
    ArrivalRate m_rate;
    std::unique_ptr<TimerSubscription> m_windowEnd;
    std::unique_ptr<TimerSubscription> m_pause;
    ClaimCounts m_counts;
    internal::CallbackGuard m_life;
};

} // namespace cranberry
