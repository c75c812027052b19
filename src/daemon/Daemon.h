// Defines Daemon, which puts the aggregates of one entry VM together.
#pragma once

#include "base/Result.h"
#include "daemon/DaemonSettings.h"

#include <functional>
#include <memory>

namespace cranberry {

struct DaemonParts;
struct HttpRequest;

/// Thread safety: only from the thread of the event loop.
class Daemon
{
public:
    explicit Daemon(DaemonSettings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Reads the files that the settings name, listens, and begins to load the configuration.
    /// Error BadRequest: one line that says what to change. Precondition: called once.
    Result<void> start();

    quint16 gatewayPort() const { return m_gatewayPort; }
    quint16 peerPort() const { return m_peerPort; }

    /// Takes no part in new work any more, finishes every request and calls @p done. A second
    /// call has no effect.
    void drain(std::function<void()> done);

private:
    Result<void> readSecrets();
    Result<void> listen();
    void wire();
    void configurationInForce();
    void finishDrainWhenIdle();

    const DaemonSettings m_settings;
    QByteArray m_operatorToken;
    QByteArray m_peerSecret;
    quint16 m_gatewayPort = 0;
    quint16 m_peerPort = 0;
    std::unique_ptr<DaemonParts> m_parts;
    std::function<void()> m_drained;
};

} // namespace cranberry
