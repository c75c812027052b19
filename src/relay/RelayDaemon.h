#pragma once

#include "base/Result.h"
#include "base/Units.h"
#include "relay/ReclaimCounts.h"

#include <functional>
#include <memory>

namespace cranberry {

class CallerReply;
class TimerSubscription;
struct HttpRequest;
struct Peer;
struct RelayParts;
struct RelayProtocols;
struct RelaySettings;
struct SettingsReading;

/// Relays requests of a platform's callers to its targets. Has no persistent state: configuration
/// and targets are read from the platform's store.
/// Thread safety: only from the thread of the event loop.
class RelayDaemon
{
public:
    RelayDaemon(const RelaySettings &settings, const RelayProtocols &protocols);
    ~RelayDaemon();

    /// Listens and starts to read the store. Error: BadRequest naming an address.
    Result<void> start();
    /// The settings file was read, at startup or later. If it is usable, the next shutdown has its
    /// grace time; other settings stay as they were at startup.
    void settingsRead(const SettingsReading &read);
    /// Completes the requests in progress and calls @p done, before the end of the grace time. New
    /// connections are accepted until the balancer has removed the daemon, and for as long as it
    /// has requests. Later calls do nothing.
    void drain(std::function<void()> done);

private:
    void connectAdmission();
    void connectAvailability();
    void handleReadiness(const HttpRequest &request, const std::shared_ptr<CallerReply> &reply);
    void operatorKeyWritten(const QString &key, const QByteArray &value);
    void setEvacuated(const QString &key, bool isEvacuated);
    void applyConfiguration(const QByteArray &value);
    bool isReady() const;
    /// Whether no request, connection or stop of a generation is in progress.
    bool isIdle() const;
    /// Takes the next step of the shutdown if it is due.
    void checkDrain();
    void endProcess();
    void logShutdownProgress();
    void recordTimerLateness();
    void checkEngines();
    void pollEnginesInUse();
    /// Logs what was freed of the memory and connections of callers since the last call.
    void logReclaims();
    void newerVersionAnnounced(const Peer &from, qint64 version);

    std::unique_ptr<RelayParts> m_parts;
    std::function<void()> m_onDrained;
    std::unique_ptr<TimerSubscription> m_drainTimer;
    std::unique_ptr<TimerSubscription> m_progressTimer;
    std::unique_ptr<TimerSubscription> m_engineCheckTimer;
    std::unique_ptr<TimerSubscription> m_forgetTimer;
    std::unique_ptr<TimerSubscription> m_rereadTimer;
    qint64 m_announcedVersion = 0;
    /// Due time of the next checkEngines(); default-constructed before its first run.
    MonotonicTime m_nextEngineCheck;
    ReclaimCounts m_loggedReclaims;
    bool m_hadEntrySource = false;
    bool m_wasReady = false;
};

} // namespace cranberry
