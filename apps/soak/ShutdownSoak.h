#pragma once

#include "base/QtTimerService.h"
#include "soak/SoakOptions.h"
#include "standins/users/PromiseChecks.h"
#include "support/PlatformSite.h"
#include "support/RawCaller.h"

#include <map>
#include <memory>
#include <random>
#include <vector>

namespace cranberry::soak {

/// One seeded run in which daemons are shut down in series and at once while callers arrive on new
/// and kept connections until each process is gone. Some requests arrive in parts, some streams
/// outlast the grace time, some signals are read late, and grace times change. Checks that each
/// request that ran has a whole answer, and that each process ends before the platform would kill
/// it. Thread safety: only from its own thread.
class ShutdownSoak
{
public:
    explicit ShutdownSoak(const SoakOptions &options);
    ~ShutdownSoak();

    /// Runs to completion.
    void run();
    /// One line for each violation. Precondition: run() has returned.
    QStringList broken() const { return m_broken + m_checks.broken() + m_longChecks.broken(); }
    int shutdowns() const { return m_shutdowns; }
    int graceChanges() const { return m_graceChanges; }
    int requests() const { return m_count; }
    int served() const { return m_checks.wholeAnswers() + m_longChecks.wholeAnswers(); }
    int rejected() const { return m_rejected; }
    /// Requests whose connections ended without an answer, and that no target ran.
    int unread() const { return m_unread; }

private:
    /// A process from its start on.
    struct Daemon {
        bool isStopping = false;
        bool isFrozen = false;
        MonotonicTime signalled;
        /// That of its settings file.
        Milliseconds grace;
        std::unique_ptr<TimerSubscription> wake;
        std::unique_ptr<TimerSubscription> kill;
        MonotonicTime restartAt;
    };
    struct PlainCall {
        QByteArray id;
        int daemon = 0;
        std::unique_ptr<test::RawCaller> caller;
        /// When the connection is used again; unset if it is not.
        MonotonicTime nextAt;
        bool isCounted = false;
    };
    struct StreamCall {
        QByteArray id;
        int daemon = 0;
        bool isLong = false;
        MonotonicTime sent;
        std::shared_ptr<test::ClientCall> call;
    };

    int randomBelow(int bound) { return int(m_random() % quint32(bound)); }
    Milliseconds randomTime(int boundMs) { return Milliseconds(randomBelow(boundMs)); }
    void addTargets();
    void answerLater(standin::RunnerEmulator &target, const HttpRequest &request,
                     const standin::RunnerEmulator::Reply &reply);
    void sendPlain();
    void sendStream();
    QList<test::RequestPart> plainRequest(const QByteArray &id);
    void collectPlain();
    void collectStreams();
    /// Whether a stream may end without its last event: the daemon had to end.
    bool mayBeCut(const StreamCall &stream) const;
    void stopSome();
    void stopDaemon(int daemon);
    /// Changes the grace time in the settings file of a daemon, or of all, with or without SIGHUP.
    void changeSomeGrace();
    void changeGrace(int daemon);
    void restartEnded();
    void checkLog(int daemon);
    /// Records a violation with what @p daemon logged of @p subject and of its shutdown.
    void breaks(int daemon, const QByteArray &subject, const QString &what);
    void step();

    const SoakOptions m_options;
    std::mt19937 m_random;
    std::mt19937 m_settingsRandom;
    QtTimerService m_timers;
    test::PlatformSite m_site;
    /// Of plain requests and short streams, and of long streams.
    standin::PromiseChecks m_checks;
    standin::PromiseChecks m_longChecks;
    QSet<QByteArray> m_ran;
    std::vector<Daemon> m_daemons;
    std::vector<PlainCall> m_plain;
    std::vector<StreamCall> m_streams;
    std::map<quint64, std::unique_ptr<TimerSubscription>> m_works;
    quint64 m_lastWork = 0;
    QStringList m_broken;
    MonotonicTime m_nextPlain;
    MonotonicTime m_nextStream;
    MonotonicTime m_nextStop;
    MonotonicTime m_nextChange;
    MonotonicTime m_nextGraceChange;
    bool m_isOver = false;
    int m_version = 1;
    int m_count = 0;
    int m_shutdowns = 0;
    int m_graceChanges = 0;
    int m_rejected = 0;
    int m_unread = 0;
};

} // namespace cranberry::soak
