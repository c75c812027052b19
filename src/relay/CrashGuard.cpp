#include "relay/CrashGuard.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "quarantine/QuarantineNews.h"
#include "relay/Peer.h"
#include "relay/PeerDatagrams.h"
#include "relay/PeerDirectory.h"

#include <QCborArray>

namespace cranberry {

namespace {

/// The entry of a crashed target expires after three missed heartbeats of 1.2 s each; the change
/// takes a few ms to arrive.
constexpr Milliseconds CrashCorrelationWindow{6000};
constexpr Milliseconds SweepInterval{1000};

const char *nameOf(RelayAttemptEnd end)
{
    switch (end) {
    case RelayAttemptEnd::Answered:
        return "answered";
    case RelayAttemptEnd::Ended:
        return "ended";
    case RelayAttemptEnd::Broken:
        return "broken";
    }
    return "unknown";
}

void logNews(const Peer &from, const QCborMap &body)
{
    const std::optional<QuarantineNews> news = quarantineNewsFromCbor(body);
    if (!news)
        return;
    for (const RequestFingerprint &fingerprint : news->fingerprints)
        logEvent(LogLevel::Info, EventId::CrashNews,
                 {{"fingerprint", fingerprint.text()},
                  {"from", from.vm.text()},
                  {"kind", QString::number(int(news->kind))}});
}

} // namespace

CrashGuard::CrashGuard(TimerService &timers, PeerDirectory &peers, PeerDatagrams &datagrams)
    : m_timers(timers)
    , m_sweepTimer(timers.every(SweepInterval, [this] { removeExpired(); }))
{
    m_quarantine.onNews([&peers, &datagrams](const QCborMap &news) {
        datagrams.send(peers.peers(), DatagramKind::Quarantine, QCborArray{news});
    });
    datagrams.onMessage(DatagramKind::Quarantine, [this](const Peer &from, const QCborArray &body) {
        ++m_counters.newsReceived;
        logNews(from, body.at(0).toMap());
        m_quarantine.handleNews(body.at(0).toMap(), m_timers.now());
    });
}

CrashGuard::~CrashGuard() = default;

bool CrashGuard::isQuarantined(const RequestFingerprint &request)
{
    return m_quarantine.verdict(request, m_timers.now()) == QuarantineVerdict::Quarantined;
}

void CrashGuard::attemptEnded(const RequestFingerprint &request, const WorkspaceId &workspace,
                              const TargetId &target, RelayAttemptEnd end)
{
    if (end != RelayAttemptEnd::Answered) {
        ++(end == RelayAttemptEnd::Broken ? m_counters.attemptsBroken : m_counters.attemptsEnded);
        logEvent(LogLevel::Info, EventId::CrashEvidence,
                 {{"fingerprint", request.text()},
                  {"target", target.text()},
                  {"end", QLatin1String(nameOf(end))},
                  {"used",
                   end == RelayAttemptEnd::Broken ? QStringLiteral("yes") : QStringLiteral("no")},
                  {"disappeared",
                   m_disappeared.contains(target) ? QStringLiteral("yes") : QStringLiteral("no")}});
    }
    if (end == RelayAttemptEnd::Broken)
        attemptBroken(request, workspace, target);
    const bool isCleared = end == RelayAttemptEnd::Answered
        && m_quarantine.verdict(request, m_timers.now()) == QuarantineVerdict::Suspect;
    if (isCleared)
        m_quarantine.release(request);
}

void CrashGuard::attemptBroken(const RequestFingerprint &request, const WorkspaceId &workspace,
                               const TargetId &target)
{
    const MonotonicTime now = m_timers.now();
    m_quarantine.attemptStarted(request, workspace, target, now);
    if (m_disappeared.contains(target))
        m_quarantine.targetDied(target, TargetDeathCause::Crash, now);
    else
        m_brokenAttempts.append({request, target, now + CrashCorrelationWindow});
}

void CrashGuard::targetDisappeared(const TargetId &target)
{
    const MonotonicTime now = m_timers.now();
    m_disappeared.insert(target, now + CrashCorrelationWindow);
    const auto isAtTarget = [&](const BrokenAttempt &attempt) { return attempt.target == target; };
    const qsizetype blamed = m_brokenAttempts.removeIf(isAtTarget);
    ++m_counters.targetsDisappeared;
    logEvent(LogLevel::Info, EventId::CrashEvidence,
             {{"target", target.text()},
              {"end", QStringLiteral("disappeared")},
              {"used", QString::number(blamed)}});
    if (blamed > 0)
        m_quarantine.targetDied(target, TargetDeathCause::Crash, now);
}

void CrashGuard::removeExpired()
{
    const MonotonicTime now = m_timers.now();
    for (const BrokenAttempt &attempt : std::as_const(m_brokenAttempts)) {
        if (attempt.until <= now)
            m_quarantine.attemptFinished(attempt.request, attempt.target, false);
    }
    m_brokenAttempts.removeIf([now](const BrokenAttempt &attempt) { return attempt.until <= now; });
    m_disappeared.removeIf([now](const auto &entry) { return entry.value() <= now; });
}

} // namespace cranberry
