#include "relay/CrashGuard.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/PeerDatagrams.h"
#include "relay/PeerDirectory.h"

#include <QCborArray>

namespace cranberry {

namespace {

/// The entry of a target that crashed ends after three heartbeats of 1.2 s without a word, and the
/// change takes some ms to arrive.
constexpr Milliseconds FateKnownAfter{6000};
constexpr Milliseconds SweepInterval{1000};

} // namespace

CrashGuard::CrashGuard(TimerService &timers, PeerDirectory &peers, PeerDatagrams &datagrams)
    : m_timers(timers)
    , m_sweep(timers.every(SweepInterval, [this] { forgetOld(); }))
{
    m_quarantine.onNews([&peers, &datagrams](const QCborMap &news) {
        datagrams.send(peers.peers(), DatagramKind::Quarantine, QCborArray{news});
    });
    datagrams.onMessage(DatagramKind::Quarantine, [this](const Peer &, const QCborArray &body) {
        m_quarantine.handleNews(body.at(0).toMap(), m_timers.now());
    });
}

CrashGuard::~CrashGuard() = default;

bool CrashGuard::isHeldBack(const RequestFingerprint &request)
{
    return m_quarantine.verdict(request, m_timers.now()) == QuarantineVerdict::Quarantined;
}

void CrashGuard::attemptEnded(const RequestFingerprint &request, const WorkspaceId &workspace,
                              const TargetId &target, AttemptFate fate)
{
    if (fate == AttemptFate::Broken)
        attemptBroke(request, workspace, target);
    const bool isCleared = fate == AttemptFate::Answered
        && m_quarantine.verdict(request, m_timers.now()) == QuarantineVerdict::Suspect;
    if (isCleared)
        m_quarantine.release(request);
}

void CrashGuard::attemptBroke(const RequestFingerprint &request, const WorkspaceId &workspace,
                              const TargetId &target)
{
    const MonotonicTime now = m_timers.now();
    m_quarantine.attemptStarted(request, workspace, target, now);
    if (m_gone.contains(target))
        m_quarantine.targetDied(target, TargetDeathCause::Crash, now);
    else
        m_broken.append({request, target, now + FateKnownAfter});
}

void CrashGuard::targetGone(const TargetId &target)
{
    const MonotonicTime now = m_timers.now();
    m_gone.insert(target, now + FateKnownAfter);
    const auto isThere = [&](const BrokenAttempt &attempt) { return attempt.target == target; };
    if (m_broken.removeIf(isThere) > 0)
        m_quarantine.targetDied(target, TargetDeathCause::Crash, now);
}

void CrashGuard::forgetOld()
{
    const MonotonicTime now = m_timers.now();
    for (const BrokenAttempt &attempt : std::as_const(m_broken)) {
        if (attempt.until <= now)
            m_quarantine.attemptFinished(attempt.request, attempt.target, false);
    }
    m_broken.removeIf([now](const BrokenAttempt &attempt) { return attempt.until <= now; });
    m_gone.removeIf([now](const auto &entry) { return entry.value() <= now; });
}

} // namespace cranberry
