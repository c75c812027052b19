#include "quarantine/CrashRules.h"

#include <QCryptographicHash>
#include <QtEndian>

#include <algorithm>
#include <numeric>
#include <tuple>

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

RunVerdict trialVerdict(const PartStanding &standing, bool isJoint, MonotonicTime now)
{
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

PartStanding partStanding(const CrashRecord &record, const VmId &self, SuspicionId except,
                          MonotonicTime now)
{
    QList<CrashSuspicion> crashes;
    PartStanding standing;
    for (const CrashSuspicion &run : record.suspicions) {
        if (run.id == except || run.state == SuspicionState::Withdrawn)
            continue;
        if (!isSuspicion(run, self, now)) {
            standing.isRunning = true;
            continue;
        }
        standing.singleTrials += run.trial == TrialKind::Single ? 1 : 0;
        standing.jointTrials += run.trial == TrialKind::Joint ? 1 : 0;
        standing.lastCrashAt = std::max(standing.lastCrashAt, run.changedAt);
        crashes.append(run);
    }
    // Several requests with the part may have been at one target.
    std::sort(crashes.begin(), crashes.end(), [](const auto &one, const auto &other) {
        return std::tie(one.target, one.changedAt) < std::tie(other.target, other.changedAt);
    });
    for (qsizetype i = 0; i < crashes.size(); ++i) {
        const bool isSame = i > 0 && crashes[i].target == crashes[i - 1].target
            && crashes[i].changedAt - crashes[i - 1].changedAt < CrashSpan;
        standing.crashes += isSame ? 0 : 1;
    }
    return standing;
}

RunVerdict promptVerdict(const QList<PartStanding> &standings, MonotonicTime now)
{
    const auto suspected =
        std::count_if(standings.begin(), standings.end(),
                      [](const PartStanding &standing) { return standing.isSuspected(); });
    RunVerdict verdict = RunVerdict::Free;
    for (const PartStanding &standing : standings) {
        if (standing.isSuspected())
            verdict = std::max(verdict, trialVerdict(standing, suspected > 1, now));
    }
    return verdict;
}

bool mayRunWithoutVotes(const CrashRecord &record, const VmId &self, MonotonicTime now)
{
    if (!record.isPart())
        return suspicionCount(record, self, now) <= 1;
    const PartStanding standing = partStanding(record, self, SuspicionId(), now);
    return standing.singleTrials + standing.jointTrials == 0;
}

RunVerdict runVerdict(const CrashRecord &record, const VmId &self, SuspicionId except,
                      TrialKind kind, MonotonicTime now)
{
    if (record.isPart()) {
        const PartStanding standing = partStanding(record, self, except, now);
        const bool isJoint = kind == TrialKind::Joint;
        return standing.isSuspected() ? trialVerdict(standing, isJoint, now) : RunVerdict::Free;
    }
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
