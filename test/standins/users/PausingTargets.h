// Defines PausingTargets, targets that turn requests away and say in their answers what they want.
#pragma once

#include "standins/users/PauseChecks.h"
#include "standins/users/RunnerEmulator.h"
#include "support/PlatformSite.h"

#include <QObject>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace cranberry::standin {

/// How some of the targets reject requests.
struct PauseBehaviour {
    /// Values of Retry-After, used in turn. An unreadable one asks for nothing; an empty list means
    /// no such header.
    QList<QByteArray> values;
    /// The target answers after a random time between these.
    Milliseconds minDelay{0};
    Milliseconds maxDelay{0};
    /// Its reports are answered with 503 and the same values.
    bool hasReports = false;
    /// It grants no reservations.
    bool hasReservations = false;
};

/// In which answers a target says that it is leaving.
enum class LeavingForm {
    Success,
    Error,
    Rejection,
    Misdirected,
    Report,
    None,
};

/// Targets of one service. The first ones are in trouble from start() to stop(): such a target
/// rejects the requests of a daemon during each pause that it asked it for, and of three requests
/// after a pause it serves one and asks for a pause in its answers to the others.
/// Thread safety: only from the thread of the event loop.
class PausingTargets
{
public:
    static constexpr char ReportId[] = "report";

    PausingTargets(test::PlatformSite &site, QByteArray service, quint32 seed);
    ~PausingTargets();

    void add(int count);
    void start(int targets, const PauseBehaviour &behaviour);
    void stop() { m_inTrouble = 0; }
    /// The first @p targets say in their answers that they are leaving. Their entries stay. A
    /// report counts as the answer to a request with the id ReportId.
    void leave(int targets, LeavingForm form);
    /// The process of target @p number starts again under its id.
    void startAgain(int number);
    /// Another target takes the address of target @p number, which is gone.
    void exchangeAddress(int number);
    /// The entry of target @p number is missing, or is there again, still ready.
    void setEntry(int number, bool exists);

    PauseChecks &checks() { return m_checks; }
    RunnerEmulator &runner(int number) { return *m_targets[size_t(number)]->runner; }
    /// Requests that target @p number has served.
    int served(int number) const { return m_targets[size_t(number)]->served; }
    /// Requests that target @p number received.
    int received(int number) const { return m_targets[size_t(number)]->received; }
    /// The time until one of the targets wants requests of @p daemon again, by what they had asked
    /// it for until @p known; zero if one does now.
    Milliseconds untilFirstResumes(int daemon, MonotonicTime known) const;
    void onRan(std::function<void(const QByteArray &target, const HttpRequest &request)> callback)
    {
        m_onRan = std::move(callback);
    }

private:
    struct Target {
        int number = 0;
        RunnerEmulator *runner = nullptr;
        qint64 born = 1;
        /// Since and until when it rejects the requests of each daemon.
        std::map<int, MonotonicTime> pausedSince;
        std::map<int, MonotonicTime> pausedUntil;
        /// Requests after a pause.
        int decided = 0;
        int served = 0;
        int received = 0;
        bool isLeaving = false;
    };

    void announce(const Target &target);
    bool handle(Target &target, const HttpRequest &request, const RunnerEmulator::Reply &reply);
    void answer(Target &target, const HttpRequest &request, const RunnerEmulator::Reply &reply);
    /// Returns whether the target rejects the request.
    bool reject(Target &target, const HttpRequest &request, const RunnerEmulator::Reply &reply);
    void serve(Target &target, const HttpRequest &request, const RunnerEmulator::Reply &reply);
    HttpHeaders rejectionHeaders(const Target &target, const HttpRequest &request) const;
    void sayLeaving(const Target &target, const QByteArray &id, HttpHeaders &headers);

    test::PlatformSite &m_site;
    const QByteArray m_service;
    std::mt19937 m_random;
    QtTimerService m_timers;
    QObject m_timerContext;
    PauseChecks m_checks;
    PauseBehaviour m_behaviour;
    LeavingForm m_leavingForm = LeavingForm::None;
    int m_inTrouble = 0;
    int m_nextValue = 0;
    std::vector<std::unique_ptr<Target>> m_targets;
    std::function<void(const QByteArray &target, const HttpRequest &request)> m_onRan;
};

} // namespace cranberry::standin
