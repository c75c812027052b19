// Defines RelayDaemon, a daemon that relays requests of a platform's callers to its targets.
#pragma once

#include "base/Result.h"
#include "base/Units.h"

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

/// Keeps nothing: configuration and targets are read from the platform's store.
/// Thread safety: only from the thread of the event loop.
class RelayDaemon
{
public:
    RelayDaemon(const RelaySettings &settings, const RelayProtocols &protocols);
    ~RelayDaemon();

    /// Listens and begins to read the store. Error: BadRequest naming an address.
    Result<void> start();
    /// Takes no new connections once the balancer has seen it, finishes what it has and then
    /// calls @p done. Later calls do nothing.
    void drain(std::function<void()> done);

private:
    void readiness(const HttpRequest &request, const std::shared_ptr<CallerReply> &reply);
    void operatorWrote(const QString &key, const QByteArray &value);
    void setEvacuated(const QString &key, bool isEvacuated);
    void configurationRead(const QByteArray &value);
    bool isReady() const;
    void finishDrainWhenIdle();
    void recordTimerLateness();
    void lookAtEngines();
    void askEnginesInUse();
    void newerVersionHeard(const Peer &from, qint64 version);

    std::unique_ptr<RelayParts> m_parts;
    std::function<void()> m_drained;
    MonotonicTime m_drainBegan;
    std::unique_ptr<TimerSubscription> m_drainTimer;
    std::unique_ptr<TimerSubscription> m_askTimer;
    std::unique_ptr<TimerSubscription> m_readAgainTimer;
    qint64 m_heardVersion = 0;
    /// When lookAtEngines() is due next; default-constructed before its first run.
    MonotonicTime m_nextCheckDue;
    bool m_hadEntries = false;
    bool m_wasReady = false;
};

} // namespace cranberry
