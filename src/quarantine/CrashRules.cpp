#include "quarantine/CrashRules.h"

#include <QCryptographicHash>
#include <QtEndian>

#include <algorithm>
#include <numeric>
#include <utility>

namespace cranberry {

namespace {

bool isOverdue(const CrashSuspicion &run, const VmId &self, MonotonicTime now)
{
    return run.state == SuspicionState::Running && run.daemon != self
        && now - run.changedAt > RunLease;
}

int completionCount(const CrashRecord &record)
{
    return std::accumulate(record.completions.begin(), record.completions.end(), 0);
}

/// Makes room for @p added; returns false if all that are kept matter more.
bool makeRoom(QList<CrashSuspicion> &runs, const CrashSuspicion &added)
{
    if (runs.size() < MaxRunsPerRecord)
        return true;
    auto dropped = runs.end();
    for (auto run = runs.begin(); run != runs.end(); ++run) {
        const bool isOldest = dropped == runs.end() || run->changedAt < dropped->changedAt;
        if (run->state == SuspicionState::Withdrawn && isOldest)
            dropped = run;
    }
    // All daemons keep the trials and, of the other runs, those with the lowest numbers.
    const auto rank = [](const CrashSuspicion &run) {
        return std::pair(run.trial == TrialKind::None, run.id.value());
    };
    if (dropped == runs.end() && added.state != SuspicionState::Withdrawn)
        dropped =
            std::max_element(runs.begin(), runs.end(), [&](const auto &one, const auto &other) {
                return rank(one) < rank(other);
            });
    if (dropped == runs.end()
        || (dropped->state != SuspicionState::Withdrawn && rank(*dropped) < rank(added)))
        return false;
    runs.erase(dropped);
    return true;
}

/// Whether both runs may have been at a target when it crashed. The target of a run that is only
/// asked for is not known.
bool isSameCrash(const CrashSuspicion &one, const CrashSuspicion &other)
{
    const auto apart = one.changedAt - other.changedAt;
    return !one.target.isEmpty() && one.target == other.target && apart < CrashSpan
        && -apart < CrashSpan;
}

/// The number of targets that crashed under the part.
int crashCount(const CrashRecord &record, const VmId &self, SuspicionId except, MonotonicTime now)
{
    QList<CrashSuspicion> crashes;
    for (const CrashSuspicion &run : record.suspicions) {
        // Several requests with the part may have been at one target.
        const bool isKnown = std::any_of(crashes.begin(), crashes.end(), [&](const auto &other) {
            return isSameCrash(run, other);
        });
        if (run.id != except && isSuspicion(run, self, now) && !isKnown)
            crashes.append(run);
    }
    return int(crashes.size());
}

/// Whether another part, with @p crashes or more, was at the target that @p run may have crashed.
bool isExplained(const CrashSuspicion &run, const CrashRecords &records,
                 const RequestFingerprint &part, int crashes, const VmId &self, MonotonicTime now)
{
    return std::any_of(records.begin(), records.end(), [&](const CrashRecord &record) {
        if (!record.isPart() || record.key.fingerprint == part)
            return false;
        const bool wasThere = std::any_of(
            record.suspicions.begin(), record.suspicions.end(), [&](const CrashSuspicion &other) {
                return isSuspicion(other, self, now) && isSameCrash(run, other);
            });
        return wasThere && crashCount(record, self, SuspicionId(), now) >= crashes;
    });
}

} // namespace

const char *suspicionStateName(SuspicionState state)
{
    switch (state) {
    case SuspicionState::Running:
        return "running";
    case SuspicionState::Suspected:
        return "suspected";
    case SuspicionState::Withdrawn:
        return "withdrawn";
    }
    return "unknown";
}

const char *runVerdictName(RunVerdict verdict)
{
    switch (verdict) {
    case RunVerdict::Free:
        return "free";
    case RunVerdict::Trial:
        return "trial";
    case RunVerdict::Wait:
        return "wait";
    case RunVerdict::Reject:
        return "reject";
    }
    return "unknown";
}

bool isSuspicion(const CrashSuspicion &run, const VmId &self, MonotonicTime now)
{
    return run.state == SuspicionState::Suspected || isOverdue(run, self, now);
}

PartStanding partStanding(const CrashRecords &records, const RequestFingerprint &part,
                          const VmId &self, SuspicionId except, MonotonicTime now)
{
    PartStanding standing;
    const auto record = records.constFind(part);
    if (record == records.cend())
        return standing;
    standing.crashes = crashCount(*record, self, except, now);
    for (const CrashSuspicion &run : record->suspicions) {
        if (run.id == except || run.state == SuspicionState::Withdrawn)
            continue;
        if (!isSuspicion(run, self, now)) {
            standing.isRunning = true;
            continue;
        }
        standing.lastCrashAt = std::max(standing.lastCrashAt, run.changedAt);
        if (run.trial == TrialKind::Joint)
            ++standing.jointTrials;
        if (run.trial == TrialKind::Single
            && !isExplained(run, records, part, standing.crashes, self, now))
            ++standing.singleTrials;
    }
    return standing;
}

RunVerdict trialVerdict(const PartStanding &standing, TrialKind kind, MonotonicTime now)
{
    const bool isJoint = kind == TrialKind::Joint;
    const bool isCertain = standing.crashes >= CertainPartCrashes && standing.singleTrials > 0;
    const int trials = isJoint ? standing.jointTrials : standing.singleTrials;
    if (isCertain || standing.singleTrials >= MaxPartTrials || trials >= MaxPartTrials)
        return RunVerdict::Reject;
    if (standing.isRunning)
        return RunVerdict::Wait;
    const auto sinceCrash = now - standing.lastCrashAt;
    if (trials > 0 && sinceCrash < SecondTrialDelay)
        return RunVerdict::Reject;
    return isJoint && sinceCrash < JointTrialDelay ? RunVerdict::Wait : RunVerdict::Trial;
}

RunVerdict promptVerdict(const QList<PartStanding> &standings, MonotonicTime now)
{
    const auto suspected =
        std::count_if(standings.begin(), standings.end(),
                      [](const PartStanding &standing) { return standing.isSuspected(); });
    const TrialKind kind = suspected > 1 ? TrialKind::Joint : TrialKind::Single;
    RunVerdict verdict = RunVerdict::Free;
    for (const PartStanding &standing : standings) {
        if (standing.isSuspected())
            verdict = std::max(verdict, trialVerdict(standing, kind, now));
    }
    return verdict;
}

RunVerdict runVerdict(const CrashRecord &record, const VmId &self, SuspicionId except,
                      MonotonicTime now)
{
    int suspicions = 0;
    int running = 0;
    MonotonicTime lastAt;
    for (const CrashSuspicion &run : record.suspicions) {
        if (run.id == except || run.state == SuspicionState::Withdrawn)
            continue;
        if (!isSuspicion(run, self, now)) {
            ++running;
            continue;
        }
        ++suspicions;
        lastAt = std::max(lastAt, run.changedAt);
    }
    const int completions = completionCount(record);
    if (suspicions + running <= completions)
        return RunVerdict::Free;
    const int excess = suspicions - completions;
    if (excess >= MaxSuspicions)
        return RunVerdict::Reject;
    if (running > 0)
        return RunVerdict::Wait;
    const bool isTooSoon = excess == MaxSuspicions - 1 && now - lastAt < SecondTrialDelay;
    return isTooSoon ? RunVerdict::Reject : RunVerdict::Trial;
}

int suspicionCount(const CrashRecord &record, const VmId &self, MonotonicTime now)
{
    const auto suspicions =
        std::count_if(record.suspicions.begin(), record.suspicions.end(),
                      [&](const CrashSuspicion &run) { return isSuspicion(run, self, now); });
    return std::max(int(suspicions) - completionCount(record), 0);
}

bool merge(CrashRecord &into, const CrashRecord &from)
{
    bool isChanged = false;
    for (const CrashSuspicion &run : from.suspicions) {
        const auto known = std::find_if(into.suspicions.begin(), into.suspicions.end(),
                                        [&](const auto &other) { return other.id == run.id; });
        if (known == into.suspicions.end()) {
            if (!makeRoom(into.suspicions, run))
                continue;
            into.suspicions.append(run);
            isChanged = true;
        } else if (run.state > known->state) {
            known->state = run.state;
            known->changedAt = run.changedAt;
            if (!run.target.isEmpty())
                known->target = run.target;
            isChanged = true;
        }
    }
    for (auto entry = from.completions.begin(); entry != from.completions.end(); ++entry) {
        const bool hasRoom =
            into.completions.size() < MaxDaemonsPerRecord || into.completions.contains(entry.key());
        if (!hasRoom || into.completions.value(entry.key()) >= entry.value())
            continue;
        into.completions.insert(entry.key(), entry.value());
        isChanged = true;
    }
    if (into.key.workspace.isEmpty())
        into.key.workspace = from.key.workspace;
    if (into.key.part.isEmpty())
        into.key.part = from.key.part;
    return isChanged;
}

bool isExpired(const CrashRecord &record, MonotonicTime now)
{
    return std::all_of(
        record.suspicions.begin(), record.suspicions.end(), [now](const CrashSuspicion &run) {
            const Milliseconds lifetime =
                run.state == SuspicionState::Withdrawn ? WithdrawnLifetime : SuspectedLifetime;
            return now - run.changedAt > lifetime;
        });
}

quint64 digestOf(const CrashRecord &record)
{
    quint64 digest = 0;
    for (const CrashSuspicion &run : record.suspicions) {
        if (run.state == SuspicionState::Withdrawn)
            continue;
        QCryptographicHash hash(QCryptographicHash::Sha1);
        hash.addData(record.key.fingerprint.text().toLatin1());
        hash.addData(QByteArray::number(run.id.value()) + ':' + QByteArray::number(int(run.state)));
        digest ^= qFromBigEndian<quint64>(hash.result().constData());
    }
    return digest;
}

} // namespace cranberry
