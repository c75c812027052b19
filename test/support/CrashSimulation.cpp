#include "support/CrashSimulation.h"

#include "quarantine/CrashAdmission.h"
#include "quarantine/CrashLedger.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace cranberry::test {

namespace {

constexpr Milliseconds Step{1};
constexpr Milliseconds TickInterval{50};
constexpr Milliseconds RestartTime{300};
constexpr Milliseconds CutTime{8000};
constexpr Milliseconds HeardTimeout{4000};
constexpr Milliseconds HoldTime{1200};
/// A trial that takes this long to be granted was granted without a majority.
constexpr Milliseconds AskTimeout{200};
constexpr std::size_t CrashesAllowed = 5;
constexpr Milliseconds StableTime{3000};
constexpr int SecondParts = 12;
constexpr Milliseconds DownTime{2500};
const WorkspaceId Workspace(QStringLiteral("w"));

CrashKey partKey(const QString &name)
{
    return {partFingerprint(ServiceId(QStringLiteral("s")), name.toLatin1()), {}, name};
}

CrashKey requestKey(const QString &name)
{
    return {requestFingerprint(Workspace, "POST /", name.toLatin1()), Workspace, {}};
}

class Simulation
{
public:
    explicit Simulation(const CrashSimulationOptions &options)
        : m_options(options)
        , m_random(options.seed)
    {
        for (int daemon = 0; daemon < options.daemons; ++daemon) {
            m_daemons.emplace_back();
            start(daemon);
            m_daemons.back().ledger->setSynchronised(true);
        }
    }

    CrashSimulationResult run()
    {
        MonotonicTime nextRequest = m_now + Milliseconds(100);
        MonotonicTime nextSound = m_now;
        MonotonicTime nextKill = m_now + m_options.killInterval;
        const MonotonicTime cutAt = m_now + m_options.cutAt;
        const MonotonicTime end = m_now + m_options.duration;
        for (; m_now < end; m_now += Step) {
            while (!m_events.empty() && m_events.begin()->first <= m_now) {
                const std::function<void()> event = m_events.begin()->second;
                m_events.erase(m_events.begin());
                event();
            }
            m_isCut = m_options.cutAt.count() > 0 && m_now >= cutAt && m_now < cutAt + CutTime;
            if (m_now >= nextRequest) {
                nextRequest += m_options.requestInterval;
                receiveRequest(randomDaemon(), harmfulSubject(), true);
            }
            if (m_options.soundInterval.count() > 0 && m_now >= nextSound) {
                nextSound += m_options.soundInterval;
                receiveRequest(randomDaemon(), soundSubject(), false);
            }
            if (m_options.killInterval.count() > 0 && m_now >= nextKill) {
                nextKill += m_options.killInterval;
                kill(randomDaemon());
            }
            for (int daemon = 0; daemon < m_options.daemons; ++daemon)
                step(daemon);
        }
        evaluate();
        return m_result;
    }

private:
    struct Daemon {
        std::unique_ptr<CrashLedger> ledger;
        std::unique_ptr<CrashAdmission> admission;
        /// Counts the starts, so that events of a former process do nothing.
        int process = 0;
        MonotonicTime nextTick;
        std::map<int, MonotonicTime> heardAt;
        /// When the trials that it makes were asked for.
        std::map<qint64, MonotonicTime> askedAt;
    };
    struct Sound {
        MonotonicTime at;
        bool hasRun = false;
    };
    /// A run whose answer has not begun.
    struct PendingRun {
        int daemon = 0;
        int process = 0;
        int target = 0;
        CrashSubject subject;
        QList<CrashTrial> trials;
    };

    int randomDaemon() { return int(m_random() % quint32(m_options.daemons)); }

    CrashSubject subjectWith(const QString &second)
    {
        const int first = int(m_random() % quint32(m_options.firstParts));
        return {requestKey(QString::number(++m_requests)),
                {partKey(QStringLiteral("a%1").arg(first)), partKey(second)}};
    }

    CrashSubject harmfulSubject()
    {
        if (!m_options.isInPart)
            return {requestKey(QStringLiteral("harmful")), {}};
        return subjectWith(QStringLiteral("bad"));
    }

    CrashSubject soundSubject()
    {
        return subjectWith(QStringLiteral("b%1").arg(m_random() % SecondParts));
    }

    static VmId vm(int daemon) { return VmId(QStringLiteral("vm%1").arg(daemon)); }
    static int number(const VmId &vm) { return vm.text().mid(2).toInt(); }

    void after(Milliseconds delay, std::function<void()> event)
    {
        m_events.emplace(m_now + delay, std::move(event));
    }

    /// Runs @p event unless the process of @p daemon has ended by then.
    void afterAt(int daemon, Milliseconds delay, std::function<void(Daemon &)> event)
    {
        const int process = m_daemons[std::size_t(daemon)].process;
        after(delay, [this, daemon, process, event = std::move(event)] {
            Daemon &receiver = m_daemons[std::size_t(daemon)];
            if (receiver.ledger && receiver.process == process)
                event(receiver);
        });
    }

    void start(int daemon)
    {
        Daemon &started = m_daemons[std::size_t(daemon)];
        CrashLedger::Callbacks callbacks;
        callbacks.send = [this, daemon](const VmId &to, const CrashMessage &message) {
            if (message.kind == CrashMessageKind::Ask)
                m_daemons[std::size_t(daemon)].askedAt.emplace(message.id.value(), m_now);
            send(daemon, number(to), message);
        };
        callbacks.broadcast = [this, daemon](const CrashMessage &message) {
            for (int to = 0; to < m_options.daemons; ++to) {
                if (to != daemon)
                    send(daemon, to, message);
            }
        };
        callbacks.members = [this, daemon] { return members(daemon); };
        callbacks.random = [this] { return (quint64(m_random()) << 32) | m_random(); };
        callbacks.trialDecided = [this, daemon](const RequestFingerprint &request, SuspicionId id,
                                                bool isGranted) {
            m_daemons[std::size_t(daemon)].admission->trialDecided({request, id}, isGranted, m_now);
        };
        callbacks.changed = [](const CrashRecord &, const CrashSuspicion &) {};
        started.ledger = std::make_unique<CrashLedger>(vm(daemon), callbacks);
        started.admission = std::make_unique<CrashAdmission>(*started.ledger);
        started.askedAt.clear();
        for (int other = 0; other < m_options.daemons; ++other)
            started.heardAt[other] = m_now;
        ++started.process;
    }

    QList<VmId> members(int daemon)
    {
        QList<VmId> members;
        for (const auto &[other, heardAt] : m_daemons[std::size_t(daemon)].heardAt) {
            if (other != daemon && m_now - heardAt < HeardTimeout)
                members.append(vm(other));
        }
        return members;
    }

    void send(int from, int to, const CrashMessage &message)
    {
        const bool isLost = std::uniform_real_distribution<>(0, 1)(m_random) < m_options.loss;
        if (isLost || (m_isCut && (from == 0 || to == 0)) || !m_daemons[std::size_t(to)].ledger)
            return;
        const Milliseconds delay(1 + m_random() % quint32(m_options.maxDelay.count()));
        afterAt(to, delay, [this, from, message](Daemon &receiver) {
            receiver.heardAt[from] = m_now;
            receiver.ledger->handle(vm(from), message, m_now);
        });
    }

    void kill(int daemon)
    {
        m_daemons[std::size_t(daemon)].admission.reset();
        m_daemons[std::size_t(daemon)].ledger.reset();
        after(RestartTime, [this, daemon] { start(daemon); });
    }

    void receiveRequest(int daemon, const CrashSubject &subject, bool isHarmful)
    {
        Daemon &receiver = m_daemons[std::size_t(daemon)];
        if (!receiver.ledger)
            return;
        if (!isHarmful)
            m_sound.push_back({m_now});
        const std::size_t number = m_sound.size();
        switch (receiver.admission->verdict(subject, m_now)) {
        case RunVerdict::Free:
            run(daemon, subject, isHarmful ? 0 : number, {});
            return;
        case RunVerdict::Reject:
            return;
        case RunVerdict::Trial:
        case RunVerdict::Wait:
            break;
        }
        const int held =
            receiver.admission->hold(subject,
                                     [this, daemon, subject, isHarmful,
                                      number](bool isAllowed, const QList<CrashTrial> &trials) {
                                         if (isAllowed)
                                             run(daemon, subject, isHarmful ? 0 : number, trials);
                                     });
        afterAt(daemon, HoldTime,
                [this, held](Daemon &holder) { holder.admission->release(held, m_now); });
    }

    void step(int daemon)
    {
        Daemon &stepped = m_daemons[std::size_t(daemon)];
        if (!stepped.ledger)
            return;
        if (m_now >= stepped.nextTick) {
            stepped.nextTick = m_now + TickInterval;
            if (!stepped.ledger->isSynchronised())
                stepped.ledger->pull();
            stepped.ledger->tick(m_now);
            // Daemons also exchange other messages.
            for (int other = 0; other < m_options.daemons; ++other) {
                const bool isCut = m_isCut && (daemon == 0 || other == 0);
                if (!isCut && m_daemons[std::size_t(other)].ledger)
                    stepped.heardAt[other] = m_now;
            }
        }
        stepped.admission->decide(m_now);
    }

    /// Runs a request. @p sound: the number of a sound one; 0 for a harmful one.
    void run(int daemon, const CrashSubject &subject, std::size_t sound,
             const QList<CrashTrial> &trials)
    {
        if (m_options.isInPart && !isAnyUp()) {
            for (const CrashTrial &trial : trials)
                m_daemons[std::size_t(daemon)].ledger->withdraw(trial.fingerprint, trial.id, m_now);
            return;
        }
        const int number = m_options.isInPart ? startRun(daemon, subject, trials) : 0;
        if (sound > 0) {
            m_sound[sound - 1].hasRun = true;
            after(m_options.clearTime, [this, number] { begin(number); });
            return;
        }
        m_crashes.push_back(m_now);
        m_result.uninformed += trials.isEmpty() ? 1 : 0;
        const auto &askedAt = m_daemons[std::size_t(daemon)].askedAt;
        const bool isWithoutVotes =
            std::any_of(trials.begin(), trials.end(), [&](const CrashTrial &trial) {
                const auto asked = askedAt.find(trial.id.value());
                return asked != askedAt.end() && m_now - asked->second >= AskTimeout;
            });
        m_result.withoutVotes += isWithoutVotes ? 1 : 0;
        if (m_options.isInPart) {
            after(m_options.crashTime, [this, number] {
                const auto found = m_pendingRuns.find(number);
                if (found != m_pendingRuns.end())
                    crash(found->second.target);
            });
            return;
        }
        // The run is recorded when its target does not answer.
        afterAt(daemon, m_options.proofTime, [this, subject, trials](Daemon &owner) {
            suspect(owner, subject.request, trials,
                    TargetId(QStringLiteral("t%1").arg(++m_targets)));
        });
    }

    int startRun(int daemon, const CrashSubject &subject, const QList<CrashTrial> &trials)
    {
        PendingRun run;
        run.daemon = daemon;
        run.process = m_daemons[std::size_t(daemon)].process;
        do {
            run.target = int(m_random() % quint32(m_options.targets));
        } while (m_downUntil[run.target] > m_now);
        run.subject = subject;
        run.trials = trials;
        m_pendingRuns.emplace(++m_lastRun, run);
        return m_lastRun;
    }

    bool isAnyUp() const
    {
        const auto down = std::count_if(m_downUntil.begin(), m_downUntil.end(),
                                        [this](const auto &entry) { return entry.second > m_now; });
        return down < m_options.targets;
    }

    CrashLedger *ledgerOf(const PendingRun &run)
    {
        const Daemon &daemon = m_daemons[std::size_t(run.daemon)];
        return daemon.process == run.process ? daemon.ledger.get() : nullptr;
    }

    /// The answer of a sound request begins.
    void begin(int number)
    {
        const auto found = m_pendingRuns.find(number);
        if (found == m_pendingRuns.end())
            return;
        const PendingRun run = found->second;
        m_pendingRuns.erase(found);
        CrashLedger *ledger = ledgerOf(run);
        if (!ledger)
            return;
        for (const CrashTrial &trial : run.trials)
            ledger->withdraw(trial.fingerprint, trial.id, m_now);
        for (const CrashKey &part : run.subject.parts)
            ledger->clearPart(part.fingerprint, m_now);
    }

    void crash(int target)
    {
        m_downUntil[target] = m_now + DownTime;
        const TargetId id(QStringLiteral("t%1-%2").arg(target).arg(++m_targets));
        for (auto run = m_pendingRuns.begin(); run != m_pendingRuns.end();) {
            if (run->second.target != target) {
                ++run;
                continue;
            }
            after(m_options.proofTime - m_options.crashTime, [this, lost = run->second, id] {
                if (!ledgerOf(lost))
                    return;
                Daemon &owner = m_daemons[std::size_t(lost.daemon)];
                suspect(owner, lost.subject.request, lost.trials, id);
                for (const CrashKey &part : lost.subject.parts)
                    suspect(owner, part, lost.trials, id);
            });
            run = m_pendingRuns.erase(run);
        }
    }

    void suspect(Daemon &owner, const CrashKey &key, const QList<CrashTrial> &trials,
                 const TargetId &target)
    {
        const auto trial = std::find_if(trials.begin(), trials.end(), [&](const auto &other) {
            return other.fingerprint == key.fingerprint;
        });
        const SuspicionId id =
            trial != trials.end() ? trial->id : owner.ledger->addRun(key, target, m_now);
        owner.ledger->setTarget(key.fingerprint, id, target);
        owner.ledger->suspect(key.fingerprint, id, m_now);
    }

    void evaluate()
    {
        m_result.crashes = int(m_crashes.size());
        if (m_crashes.empty())
            return;
        const MonotonicTime fifth = m_crashes[std::min(m_crashes.size(), CrashesAllowed) - 1];
        if (m_crashes.size() >= CrashesAllowed)
            m_result.late = int(std::count_if(m_crashes.begin(), m_crashes.end(),
                                              [&](auto at) { return at > fifth + StableTime; }));
        for (const Sound &sound : m_sound) {
            if (sound.at < fifth + 2 * StableTime)
                continue;
            ++m_result.soundLater;
            m_result.soundRanLater += sound.hasRun ? 1 : 0;
        }
    }

    const CrashSimulationOptions m_options;
    std::mt19937 m_random;
    MonotonicTime m_now{std::chrono::hours(1)};
    std::multimap<MonotonicTime, std::function<void()>> m_events;
    std::vector<Daemon> m_daemons;
    bool m_isCut = false;
    int m_requests = 0;
    int m_targets = 0;
    int m_lastRun = 0;
    std::map<int, PendingRun> m_pendingRuns;
    std::map<int, MonotonicTime> m_downUntil;
    std::vector<MonotonicTime> m_crashes;
    std::vector<Sound> m_sound;
    CrashSimulationResult m_result;
};

} // namespace

CrashSimulationResult simulateCrashes(const CrashSimulationOptions &options)
{
    return Simulation(options).run();
}

} // namespace cranberry::test
