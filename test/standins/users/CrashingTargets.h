// Defines CrashingTargets, targets that some requests crash.
#pragma once

#include "base/Units.h"
#include "standins/users/PartitionProxy.h"
#include "support/PlatformSite.h"

#include <QObject>

#include <map>
#include <memory>
#include <random>
#include <vector>

namespace cranberry::standin {

/// What daemons see of a target that has crashed.
enum class CrashForm {
    /// Its connections are reset, and its port refuses new ones.
    Refuse,
    /// Its connections are reset, and so is each new one.
    Reset,
    /// Its connections and new ones carry nothing.
    Silent,
};

constexpr int CrashFormCount = 3;

/// The name used in messages of tests. Thread-safe.
const char *crashFormName(CrashForm form);

struct CrashBehaviour {
    CrashForm form = CrashForm::Refuse;
    /// Time after which a target that crashed is back.
    Milliseconds downTime{2500};
    /// It is back under its former id.
    bool keepsId = false;
};

/// The runs of one harmful request, or of the requests with one harmful part.
struct HarmfulRuns {
    /// When targets began to run it.
    std::vector<MonotonicTime> begun;
    /// When it crashed a target.
    std::vector<MonotonicTime> crashes;

    /// The runs that began later than @p stableTime after crash number @p crashesAllowed.
    int lateRuns(Milliseconds stableTime, std::size_t crashesAllowed = 3) const;
};

/// Targets whose entries in the store expire as on the platform: three heartbeats after the last
/// one. A request whose body begins with HarmfulPrefix crashes each target 50 ms after that has
/// begun to run it. One with a part whose id begins with HarmfulPart, other than the last part,
/// crashes each target that begins to write an answer to it, between the head and the first event.
/// Thread safety: only from the thread of its event loop.
class CrashingTargets
{
public:
    static constexpr char HarmfulPrefix[] = "harmful";
    static constexpr char HarmfulPart[] = "bad";
    static constexpr int GeneratedEvents = 12;

    /// Precondition: @p site outlives the object.
    CrashingTargets(test::PlatformSite &site, quint32 seed, QByteArray service = "plain");
    ~CrashingTargets();

    /// Adds targets of the service. Daemons numbered up to @p maxDaemons can be partitioned from
    /// them.
    void add(int count, int maxDaemons);
    void setBehaviour(const CrashBehaviour &behaviour) { m_behaviour = behaviour; }
    /// Time that a target takes for a request that is not harmful, or to read the prompt of a
    /// generation.
    void setServiceTime(Milliseconds time) { m_serviceTime = time; }
    /// Crashes @p count targets that are up, without a harmful request.
    void crashOthers(int count);
    /// Every other target answers every other request with 500 from now on.
    void setFaulty(bool isFaulty) { m_isFaulty = isFaulty; }
    void partition(const QSet<int> &daemons, PartitionForm form);
    /// Called with each request that a target begins to run.
    void onRan(std::function<void(const QByteArray &target, const HttpRequest &request)> callback)
    {
        m_onRan = std::move(callback);
    }

    const std::map<QByteArray, HarmfulRuns> &harmful() const { return m_harmful; }
    /// Targets that harmful requests crashed.
    int crashed() const;

private:
    struct Target;

    /// What makes the request harmful; empty if nothing does.
    static QByteArray harmOf(const HttpRequest &request);
    void startRunner(Target &target);
    /// Sends the head of the answer to a generation once its prompt has been read.
    void startAnswer(Target &target, const HttpRequest &request,
                     const RunnerEmulator::Reply &reply);
    /// Writes event number @p event and those that follow.
    void generate(Target &target, const RunnerEmulator::Reply &reply, int event);
    bool handle(Target &target, const HttpRequest &request, const RunnerEmulator::Reply &reply);
    void crash(Target &target);
    void comeBack(Target &target);
    void applyPartition(Target &target);
    QString key(const Target &target) const;

    test::PlatformSite &m_site;
    QtTimerService m_timers;
    std::mt19937 m_random;
    QByteArray m_service;
    CrashBehaviour m_behaviour;
    Milliseconds m_serviceTime{40};
    bool m_isFaulty = false;
    int m_starts = 0;
    int m_requests = 0;
    QSet<int> m_allDaemons;
    QSet<int> m_partitioned;
    PartitionForm m_partitionForm = PartitionForm::Hang;
    std::vector<std::unique_ptr<Target>> m_targets;
    std::vector<std::unique_ptr<TimerSubscription>> m_expiryTimers;
    QObject m_timerContext;
    std::map<QByteArray, HarmfulRuns> m_harmful;
    std::function<void(const QByteArray &, const HttpRequest &)> m_onRan;
};

} // namespace cranberry::standin
