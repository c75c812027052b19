#pragma once

#include "base/LatencyHistogram.h"
#include "http/BodyFraming.h"
#include "relay/AnswerEnd.h"
#include "relay/LateCause.h"
#include "relay/RequestKind.h"

#include <array>

namespace cranberry {

constexpr std::size_t RequestKindCount = 3;

/// Metrics of one kind of request.
struct KindCounters {
    qint64 arrived = 0;
    qint64 answered = 0;
    qint64 refused = 0;
    qint64 failed = 0;
    qint64 callerGone = 0;
    qint64 retried = 0;
    /// Time from arrival to the answer, or to the first event of a stream.
    LatencyHistogram toAnswer;
    /// Answers by why they were late.
    std::array<qint64, LateCauseCount> late{};
};

/// The metrics of a relay daemon.
/// Thread safety: none; one event loop.
struct RelayCounters {
    std::array<KindCounters, RequestKindCount> kinds;
    /// Rejected because the daemon shuts down.
    qint64 shutdownRejected = 0;
    /// In progress when their answers were due in a shutdown.
    qint64 shutdownUnfinished = 0;
    qint64 retriesGranted = 0;
    qint64 retriesRefused = 0;
    qint64 movesBegun = 0;
    qint64 movesDone = 0;
    qint64 movesFailed = 0;
    qint64 streamsLost = 0;
    qint64 storeCalls = 0;
    qint64 reportsAsked = 0;
    /// Body bytes of the responses to peers' state requests.
    qint64 peerStateBytesSent = 0;
    /// Body bytes received from peers, including incomplete and failed responses.
    qint64 peerStateBytesReceived = 0;
    /// State requests to peers without a complete response of status 200.
    qint64 peerStateFailed = 0;
    /// From sending a state request to its complete response of status 200.
    LatencyHistogram peerStateResponseTimes;
    /// Delay of the periodic engine check past its due time; grows when the event loop is starved
    /// of CPU time.
    LatencyHistogram timerLateness;
    /// Target entries that could not be parsed because another program wrote them.
    qint64 unreadableEntries = 0;
    /// Faults of the settings file when it was last read.
    qint64 settingsFaults = 0;
    /// Whether a daemon could start with the settings file when it was last read.
    bool isSettingsFileUsable = true;

    /// Ends of answers by the framing of their bodies.
    std::array<std::array<qint64, AnswerEndCount>, BodyFramingCount> answerEnds{};

    void countAnswerEnd(BodyFraming framing, AnswerEnd end)
    {
        ++answerEnds[std::size_t(framing)][std::size_t(end)];
    }
    KindCounters &of(RequestKind kind) { return kinds[std::size_t(kind)]; }
};

} // namespace cranberry
