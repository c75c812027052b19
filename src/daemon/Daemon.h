#pragma once

#include "base/Result.h"
#include "daemon/DaemonSettings.h"

#include <functional>
#include <memory>

namespace cranberry {

struct DaemonParts;
struct HttpRequest;

/// Creates and connects the components of one entry VM.
/// Thread safety: only from the thread of the event loop.
class Daemon
{
public:
    explicit Daemon(DaemonSettings settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    Daemon &operator=(const Daemon &) = delete;

    /// Reads the secret files named in the settings, opens the gateway and peer ports, and starts
    /// to load the configuration. Error BadRequest: one line that names the setting to change.
    /// Precondition: called once.
    Result<void> start();

    /// The bound ports; 0 before start().
    quint16 gatewayPort() const { return m_gatewayPort; }
    quint16 peerPort() const { return m_peerPort; }

    /// Starts a graceful shutdown: reports not ready, tells the other daemons that this one leaves,
    /// closes the gateway port after DaemonSettings::drainListenTime, and calls @p done when all
    /// requests have finished and all answers are sent. A second call has no effect.
    /// Precondition: start() succeeded.
    void drain(std::function<void()> done);

private:
    Result<void> readSecrets();
    Result<void> listen();
    void connectParts();
    void applyConfiguration();
    void finishDrainWhenIdle();

    const DaemonSettings m_settings;
    QByteArray m_operatorToken;
    QByteArray m_peerSecret;
    quint16 m_gatewayPort = 0;
    quint16 m_peerPort = 0;
    std::unique_ptr<DaemonParts> m_parts;
    std::function<void()> m_drainCallback;
};

} // namespace cranberry
