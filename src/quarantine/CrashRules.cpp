#include "quarantine/CrashRules.h"

#include <QCryptographicHash>
#include <QtEndian>

#include <algorithm>
#include <numeric>

namespace cranberry {

namespace {

bool isOverdue(const CrashSuspicion &run, const VmId &self, MonotonicTime now)
{
    return run.state == SuspicionState::Running && run.daemon != self
        && now - run.changedAt > RunLease;
}

bool counts(const CrashSuspicion &run, const VmId &self, MonotonicTime now)
{
    return run.state == SuspicionState::Suspected || isOverdue(run, self, now);
}

int completionCount(const CrashRecord &record)
{
    return std::accumulate(record.completions.begin(), record.completions.end(), 0);
}

/// Makes room for one more run; returns false if all that are kept count.
bool makeRoom(QList<CrashSuspicion> &runs)
{
    if (runs.size() < MaxRunsPerRecord)
        return true;
    const auto withdrawn = std::find_if(runs.begin(), runs.end(), [](const CrashSuspicion &run) {
        return run.state == SuspicionState::Withdrawn;
    });
    if (withdrawn == runs.end())
        return false;
    runs.erase(withdrawn);
    return true;
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

RunVerdict runVerdict(const CrashRecord &record, const VmId &self, SuspicionId except,
                      MonotonicTime now)
{
    int suspicions = 0;
    int running = 0;
    MonotonicTime lastAt;
    for (const CrashSuspicion &run : record.suspicions) {
        if (run.id == except || run.state == SuspicionState::Withdrawn)
            continue;
        if (!counts(run, self, now)) {
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
                      [&](const CrashSuspicion &run) { return counts(run, self, now); });
    return std::max(int(suspicions) - completionCount(record), 0);
}

bool merge(CrashRecord &into, const CrashRecord &from)
{
    bool isChanged = false;
    for (const CrashSuspicion &run : from.suspicions) {
        const auto known = std::find_if(into.suspicions.begin(), into.suspicions.end(),
                                        [&](const auto &other) { return other.id == run.id; });
        if (known == into.suspicions.end()) {
            if (!makeRoom(into.suspicions))
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
    if (into.workspace.isEmpty())
        into.workspace = from.workspace;
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
        QCryptographicHash hash(QCryptographicHash::Sha1);
        hash.addData(record.fingerprint.text().toLatin1());
        hash.addData(QByteArray::number(run.id.value()) + ':' + QByteArray::number(int(run.state)));
        digest ^= qFromBigEndian<quint64>(hash.result().constData());
    }
    return digest;
}

} // namespace cranberry
