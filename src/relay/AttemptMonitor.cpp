#include "relay/AttemptMonitor.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "quarantine/CrashLedger.h"
#include "relay/RelayAttemptEnd.h"
#include "relay/TargetCall.h"
#include "relay/TargetClient.h"
#include "relay/TargetDirectory.h"

#include <algorithm>

namespace cranberry {

namespace {

constexpr Milliseconds CheckInterval{50};
/// Other daemons are told of a run if its target has not answered for this time after its end; a
/// target that survived answers a probe within a few ms.
constexpr Milliseconds PublishDelay{50};
/// A request may crash its target this long after its begin, even if its caller has left meanwhile.
constexpr Milliseconds SettleTime{200};
/// A running attempt makes this daemon probe the target if nothing arrived from it for this time.
constexpr Milliseconds QuietTime{300};
/// A target that has not answered a probe within this time may have crashed...
constexpr Milliseconds SilenceTime{300};
/// ...unless it answers the same probe later.
constexpr Milliseconds ProbeTimeout{1000};
/// Targets close connections that are idle for longer.
constexpr Milliseconds MaxIdleTime{2000};
/// An entry ends three missed heartbeats of 1.2 s after a crash, and the change takes a few ms to
/// arrive.
constexpr Milliseconds DisappearanceWindow{6000};
constexpr Milliseconds RemovalInterval{500};

Milliseconds elapsed(MonotonicTime since, MonotonicTime now)
{
    return std::chrono::duration_cast<Milliseconds>(now - since);
}

} // namespace

AttemptMonitor::AttemptMonitor(TimerService &timers, TargetClient &client,
                               const TargetDirectory &targets, CrashLedger &ledger,
                               ProbeRequest probeRequest, IsOther isOther)
    : m_timers(timers)
    , m_client(client)
    , m_targets(targets)
    , m_ledger(ledger)
    , m_probeRequest(std::move(probeRequest))
    , m_isOther(std::move(isOther))
{
}

AttemptMonitor::~AttemptMonitor() = default;

int AttemptMonitor::started(const CrashSubject &subject, const TargetId &target,
                            const QList<CrashTrial> &trials)
{
    Attempt attempt;
    attempt.subject = subject;
    attempt.target = target;
    attempt.startedAt = m_timers.now();
    for (const CrashTrial &trial : trials) {
        m_ledger.setTarget(trial.fingerprint, trial.id, target);
        if (trial.fingerprint == subject.request.fingerprint)
            attempt.run = trial.id;
        else
            attempt.partRuns.append(trial);
    }
    Probed &probed = m_probed[target];
    ++probed.attempts;
    if (const TargetRecord *record = m_targets.find(target)) {
        probed.endpoint = record->entry.endpoint;
        probed.service = record->entry.service;
    }
    m_attempts.emplace(++m_lastNumber, attempt);
    startTimer();
    return m_lastNumber;
}

bool AttemptMonitor::progressed(int number)
{
    const auto found = m_attempts.find(number);
    if (found == m_attempts.end())
        return true;
    Attempt &attempt = found->second;
    const MonotonicTime now = m_timers.now();
    if (!attempt.begunAt)
        attempt.begunAt = now;
    if (elapsed(*attempt.begunAt, now) < SettleTime)
        return false;
    attempt.hasBegun = true;
    clearParts(attempt);
    return true;
}

void AttemptMonitor::startTimer()
{
    if (m_checkTimer)
        return;
    m_checkedAt = m_timers.now();
    scheduleCheck();
}

void AttemptMonitor::scheduleCheck()
{
    m_checkTimer = m_timers.after(CheckInterval, [this] { check(); });
}

void AttemptMonitor::ended(int number, RelayAttemptEnd end)
{
    const auto found = m_attempts.find(number);
    if (found == m_attempts.end())
        return;
    Attempt &attempt = found->second;
    const MonotonicTime now = m_timers.now();
    const bool isUnexplained =
        end == RelayAttemptEnd::Broken || end == RelayAttemptEnd::Unexplained;
    if (!isUnexplained) {
        withdraw(attempt);
        if (end == RelayAttemptEnd::Completed) {
            m_ledger.recordCompleted(attempt.subject.request.fingerprint, now);
            clearParts(attempt);
        }
        remove(number);
        return;
    }
    ++m_counters.unexplained;
    attempt.endedAt = now;
    attempt.judgedFrom =
        end == RelayAttemptEnd::Broken ? now : std::max(now, attempt.startedAt + SettleTime);
    m_probed[attempt.target].open.insert(number);
    if (attempt.isSuspected)
        return;
    if (!attempt.run)
        attempt.run = m_ledger.addRun(attempt.subject.request, attempt.target, now);
    if (m_disappeared.contains(attempt.target)) {
        suspect(number, attempt, "disappeared");
        return;
    }
    const auto probed = m_probed.find(attempt.target);
    if (probed != m_probed.end() && !probed->second.probe && attempt.judgedFrom <= now)
        probe(attempt.target, probed->second);
}

void AttemptMonitor::answered(const TargetId &target, MonotonicTime sentAt)
{
    heard(target);
    survived(target, sentAt, false);
}

void AttemptMonitor::heard(const TargetId &target)
{
    const auto probed = m_probed.find(target);
    if (probed != m_probed.end())
        probed->second.heardAt = m_timers.now();
}

void AttemptMonitor::lost(const TargetId &target)
{
    for (auto &[number, attempt] : m_attempts) {
        if (attempt.target == target)
            suspect(number, attempt, "started again");
    }
}

void AttemptMonitor::disappeared(const TargetId &target)
{
    m_disappeared.insert(target, m_timers.now());
    startTimer();
    suspectEnded(target, m_timers.now(), "disappeared");
}

void AttemptMonitor::check()
{
    const MonotonicTime now = m_timers.now();
    // While this daemon does not run, answers of targets are not read.
    const Milliseconds awake = std::min(elapsed(m_checkedAt, now), 2 * CheckInterval);
    m_checkedAt = now;
    for (auto &[target, probed] : m_probed) {
        if (!probed.probe)
            continue;
        probed.waited += awake;
        if (probed.waited >= SilenceTime && !probed.isSilent) {
            probed.isSilent = true;
            suspectSilent(target, probed);
        }
    }
    for (auto &[number, attempt] : m_attempts) {
        const bool isYoung = !attempt.endedAt && elapsed(attempt.startedAt, now) < QuietTime;
        if (isYoung || attempt.isSuspected || attempt.hasSurvived)
            continue;
        const auto probed = m_probed.find(attempt.target);
        if (probed != m_probed.end() && !probed->second.probe
            && needsProbe(attempt, probed->second, now)) {
            if (probed->second.failing.count() > 0)
                probed->second.failing += awake;
            probe(attempt.target, probed->second);
        }
        const bool isOpen = attempt.endedAt && attempt.run && !attempt.hasSurvived
            && !m_ledger.isPublished(*attempt.run);
        if (isOpen && elapsed(*attempt.endedAt, now) >= PublishDelay)
            m_ledger.publish(attempt.subject.request.fingerprint);
    }
    removeOld(now);
    if (m_attempts.empty() && m_disappeared.isEmpty() && m_probed.empty())
        m_checkTimer.reset();
    else
        scheduleCheck();
}

bool AttemptMonitor::needsProbe(const Attempt &attempt, const Probed &probed, MonotonicTime now)
{
    if (attempt.isSuspected || attempt.hasSurvived)
        return false;
    const MonotonicTime quietSince = std::max({attempt.startedAt, probed.heardAt, probed.probedAt});
    return attempt.endedAt ? attempt.judgedFrom <= now : elapsed(quietSince, now) >= QuietTime;
}

void AttemptMonitor::probe(const TargetId &target, Probed &probed)
{
    const bool isKnown = probed.endpoint.port != 0;
    const TargetCall call{target, probed.endpoint, CallPurpose::CrashProbe};
    if (!isKnown || !m_client.mayCall(call))
        return;
    ++m_counters.probes;
    probed.probedAt = m_timers.now();
    probed.waited = Milliseconds(0);
    probed.isSilent = false;
    HttpExchangeOptions options;
    options.connectTimeout = SilenceTime;
    options.timeout = ProbeTimeout;
    options.reuseConnection = true;
    options.maxIdleTime = MaxIdleTime;
    options.keepConnection = true;
    HttpExchangeCallbacks callbacks;
    callbacks.headers = [this, target](int status, const HttpHeaders &headers) {
        probeAnswered(target, status, headers);
    };
    callbacks.finished = [this, target](HttpExchangeEnd end, const QString &) {
        probeEnded(target, end);
    };
    probed.probe =
        m_client.send(call, m_probeRequest(probed.service, target), options, std::move(callbacks));
}

void AttemptMonitor::probeAnswered(const TargetId &target, int status, const HttpHeaders &headers)
{
    if (m_isOther(target, status, headers)) {
        lost(target);
        return;
    }
    Probed &probed = m_probed[target];
    probed.heardAt = m_timers.now();
    probed.failing = Milliseconds(0);
    survived(target, probed.probedAt, true);
}

void AttemptMonitor::probeEnded(const TargetId &target, HttpExchangeEnd end)
{
    Probed &probed = m_probed[target];
    const std::unique_ptr<HttpExchange> probe = std::move(probed.probe);
    const bool isSilent = std::exchange(probed.isSilent, false);
    if (end == HttpExchangeEnd::Complete || end == HttpExchangeEnd::Malformed || isSilent)
        return;
    const bool isRefused = end == HttpExchangeEnd::NotConnected;
    // A target with many connections resets further ones.
    if (isRefused || probed.failing >= SilenceTime) {
        probed.failing = Milliseconds(0);
        suspectEnded(target, probed.probedAt, isRefused ? "refuses connections" : "resets");
        if (isRefused && probed.waited >= SilenceTime)
            suspectSilent(target, probed);
    } else if (probed.failing.count() == 0) {
        probed.failing = Milliseconds(1);
    }
}

void AttemptMonitor::survived(const TargetId &target, MonotonicTime sentAt, bool isProbe)
{
    const auto probed = m_probed.find(target);
    if (probed == m_probed.end() || probed->second.open.empty())
        return;
    const std::set<int> open = probed->second.open;
    for (const int number : open) {
        Attempt &attempt = m_attempts.at(number);
        // After a suspicion, the target may have started again. Only the answer to the probe that
        // it was too slow for still shows that it has not.
        const bool isSlowAnswer = isProbe && attempt.silentProbe == sentAt;
        const bool hasEnded = attempt.endedAt && attempt.judgedFrom <= sentAt;
        if (!(attempt.isSuspected ? isSlowAnswer : hasEnded))
            continue;
        ++m_counters.survived;
        withdraw(attempt);
        attempt.hasSurvived = attempt.endedAt.has_value();
        probed->second.open.erase(number);
        if (attempt.endedAt && isProbe)
            probed->second.settled.insert(number);
        else if (attempt.endedAt)
            remove(number);
    }
}

// NOLINTNEXTLINE(performance-unnecessary-value-param): remove() changes what it is copied from.
void AttemptMonitor::removeOldOf(std::set<int> numbers, MonotonicTime now)
{
    for (const int number : numbers) {
        Attempt &attempt = m_attempts.at(number);
        if (!attempt.endedAt || elapsed(*attempt.endedAt, now) <= DisappearanceWindow)
            continue;
        if (attempt.run && !attempt.hasSurvived)
            suspect(number, attempt, "unknown");
        remove(number);
    }
}

void AttemptMonitor::remove(int number)
{
    const auto found = m_attempts.find(number);
    Probed &probed = m_probed[found->second.target];
    --probed.attempts;
    probed.open.erase(number);
    probed.settled.erase(number);
    m_attempts.erase(found);
}

void AttemptMonitor::suspect(int number, Attempt &attempt, const char *reason)
{
    if (attempt.isSuspected)
        return;
    const MonotonicTime now = m_timers.now();
    attempt.isSuspected = true;
    // Only the probe that is still out can clear it.
    Probed &probed = m_probed[attempt.target];
    if (attempt.silentProbe) {
        probed.open.insert(number);
    } else {
        probed.open.erase(number);
        probed.settled.insert(number);
    }
    if (attempt.hasSurvived || !attempt.run)
        attempt.run = m_ledger.addRun(attempt.subject.request, attempt.target, now);
    attempt.hasSurvived = false;
    ++m_counters.suspected;
    const bool isAgain = m_ledger.isSuspected(attempt.subject.request.fingerprint);
    m_counters.suspectedAgain += isAgain ? 1 : 0;
    logEvent(LogLevel::Info, EventId::CrashEvidence,
             {{"fingerprint", attempt.subject.request.fingerprint.text()},
              {"parts", partNames(attempt.subject.parts)},
              {"begun", attempt.hasBegun ? QStringLiteral("yes") : QStringLiteral("no")},
              {"again", isAgain ? QStringLiteral("yes") : QStringLiteral("no")},
              {"target", attempt.target.text()},
              {"end", attempt.endedAt ? QStringLiteral("ended") : QStringLiteral("running")},
              {"reason", QLatin1String(reason)},
              {"ran_ms",
               QString::number(elapsed(attempt.startedAt, attempt.endedAt.value_or(now)).count())},
              {"record", QString::number(attempt.run->value())}});
    m_ledger.suspect(attempt.subject.request.fingerprint, *attempt.run, now);
    suspectParts(attempt, now);
}

void AttemptMonitor::suspectEnded(const TargetId &target, MonotonicTime before, const char *reason)
{
    const auto probed = m_probed.find(target);
    if (probed == m_probed.end())
        return;
    std::set<int> numbers = probed->second.open;
    numbers.insert(probed->second.settled.begin(), probed->second.settled.end());
    for (const int number : numbers) {
        Attempt &attempt = m_attempts.at(number);
        if (attempt.endedAt && attempt.judgedFrom <= before)
            suspect(number, attempt, reason);
    }
}

void AttemptMonitor::suspectSilent(const TargetId &target, const Probed &probed)
{
    for (auto &[number, attempt] : m_attempts) {
        const bool isQuiet = attempt.endedAt
            ? attempt.judgedFrom <= probed.probedAt && !attempt.hasSurvived
            : attempt.startedAt <= probed.probedAt && probed.heardAt < probed.probedAt;
        if (attempt.target != target || !isQuiet || attempt.isSuspected)
            continue;
        attempt.silentProbe = probed.probedAt;
        suspect(number, attempt, "silent");
    }
}

void AttemptMonitor::suspectParts(Attempt &attempt, MonotonicTime now)
{
    // A target crashes when it begins to answer, if at all because of the prompt.
    if (attempt.hasBegun)
        return;
    for (const CrashKey &part : std::as_const(attempt.subject.parts)) {
        const bool isTrial =
            std::any_of(attempt.partRuns.begin(), attempt.partRuns.end(),
                        [&](const auto &run) { return run.fingerprint == part.fingerprint; });
        if (!isTrial)
            attempt.partRuns.append({part.fingerprint, m_ledger.addRun(part, attempt.target, now)});
    }
    for (const CrashTrial &run : std::as_const(attempt.partRuns))
        m_ledger.suspect(run.fingerprint, run.id, now);
}

void AttemptMonitor::clearParts(Attempt &attempt)
{
    const MonotonicTime now = m_timers.now();
    for (const CrashTrial &trial : std::exchange(attempt.partRuns, {}))
        m_ledger.withdraw(trial.fingerprint, trial.id, now);
    for (const CrashKey &part : std::as_const(attempt.subject.parts))
        m_ledger.clearPart(part.fingerprint, now);
}

void AttemptMonitor::withdraw(Attempt &attempt)
{
    for (const CrashTrial &run : std::exchange(attempt.partRuns, {}))
        m_ledger.withdraw(run.fingerprint, run.id, m_timers.now());
    if (attempt.run)
        m_ledger.withdraw(attempt.subject.request.fingerprint, *attempt.run, m_timers.now());
    attempt.run.reset();
    attempt.silentProbe.reset();
    attempt.isSuspected = false;
}

void AttemptMonitor::removeOld(MonotonicTime now)
{
    m_disappeared.removeIf(
        [now](const auto &entry) { return elapsed(entry.value(), now) > DisappearanceWindow; });
    if (elapsed(m_removedAt, now) < RemovalInterval)
        return;
    m_removedAt = now;
    for (auto &[target, probed] : m_probed) {
        removeOldOf(probed.open, now);
        removeOldOf(probed.settled, now);
    }
    for (auto entry = m_probed.begin(); entry != m_probed.end();) {
        const bool isUsed = entry->second.probe || entry->second.attempts > 0;
        entry = isUsed ? std::next(entry) : m_probed.erase(entry);
    }
}

} // namespace cranberry
