#include "daemon/Daemon.h"

#include "base/EventLog.h"
#include "base/MachineMemory.h"
#include "daemon/DaemonParts.h"
#include "daemon/StatusParts.h"
#include "http/HttpRequest.h"
#include "http/HttpResponder.h"
#include "placement/TargetLeavingNews.h"

#include <QFile>
#include <QHostAddress>
#include <QRandomGenerator>

namespace cranberry {

namespace {

/// Part of the machine's memory that responses in progress may hold.
constexpr qint64 ResponseMemoryFraction = 4;
/// Interval at which a draining daemon checks whether all requests have finished.
constexpr Milliseconds DrainPollInterval{20};
constexpr qsizetype MinSecretBytes = 16;

Result<QByteArray> readSecret(const QString &path, const QString &setting)
{
    QFile file(path);
    const auto fault = [&](const QString &what) {
        return Error{ErrorKind::BadRequest,
                     Ran::No,
                     QStringLiteral("%1: cannot use \"%2\": %3").arg(setting, path, what),
                     setting,
                     {}};
    };
    if (!file.open(QIODevice::ReadOnly))
        return fault(file.errorString());
    const QByteArray secret = file.readAll().trimmed();
    if (secret.size() < MinSecretBytes)
        return fault(QStringLiteral("expected at least %1 bytes").arg(MinSecretBytes));
    return secret;
}

Error withSetting(const QString &setting, Error error)
{
    error.detail = QStringLiteral("%1: %2").arg(setting, error.detail);
    error.field = setting;
    return error;
}

quint64 generateRandom()
{
    return QRandomGenerator::global()->generate64();
}

Member ownMember(const DaemonSettings &settings, const Result<quint16> &peerPort)
{
    Member member;
    member.vm = settings.vm;
    member.dataCentre = settings.dataCentre;
    member.address = settings.peer.address;
    member.peerPort = peerPort ? peerPort.value() : quint16(0);
    return member;
}

} // namespace

DaemonParts::DaemonParts(const DaemonSettings &settings, const QByteArray &peerSecret,
                         const QByteArray &operatorToken)
    : workers(settings.workers)
    , client(timers)
    , platform(timers, settings.platform)
    , peers(timers, settings.vm, peerSecret)
    , peerPort(peers.listenOn(QHostAddress(settings.peer.address), settings.peer.port))
    , members(timers, peers, platform, ownMember(settings, peerPort))
    , configuration(platform, workers, timers)
    , spread(configuration, platform, peers, members, timers)
    , admission(timers, targets, generateRandom)
    , credits(timers, peers, admission)
    , router(timers, targets, admission, credits, members, generateRandom)
    , dispatcher({timers, targets, admission, router, quarantine}, settings.dataCentre)
    , poller(timers, client, targets, settings.loadPollInterval,
             [this] { admission.capacityChanged(); })
    , cancels(client)
    , claims({platform, timers, members, peers}, ClaimSettings())
    , delivery{client, timers, dispatcher, cancels, claims, settings.stall, {}, {}}
    , runs(delivery, settings.retention)
    , attachHolder(peers, timers, runs)
    , attachedAnswers(peers, timers)
    , gateway(delivery, runs, workers, settings.vm)
    , operatorApi(settings.vm, operatorToken, configuration, workers, operatorStatus())
    , server(timers, settings.http,
             [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                 gateway.handle(request, responder);
             })
{
    if (const std::optional<Bytes> memory = machineMemory())
        responseMemory.setCapacity(Bytes(memory->value() / ResponseMemoryFraction));
    client.setMemory(responseMemory);
    platform.setMemory(responseMemory);
}

OperatorStatus DaemonParts::operatorStatus()
{
    OperatorStatus status;
    status.ready = [this] { return gateway.isReady(); };
    status.members = [this] { return memberStatus(members); };
    status.targets = [this] {
        const auto current = configuration.current();
        return current ? targetStatus(targets, *current, timers.now()) : QJsonArray();
    };
    status.quarantine = [this] { return quarantineStatus(quarantine, timers.now()); };
    status.platformReachable = [this] { return spread.isPlatformReachable(); };
    return status;
}

Daemon::Daemon(DaemonSettings settings)
    : m_settings(std::move(settings))
{
}

Daemon::~Daemon() = default;

Result<void> Daemon::readSecrets()
{
    BOOST_OUTCOME_TRY(
        token, readSecret(m_settings.operatorTokenFile, QStringLiteral("operator_token_file")));
    m_operatorToken = token;
    BOOST_OUTCOME_TRY(secret,
                      readSecret(m_settings.peerSecretFile, QStringLiteral("peer.secret_file")));
    m_peerSecret = secret;
    return outcome::success();
}

Result<void> Daemon::listen()
{
    const Result<quint16> gatewayPort =
        m_parts->server.listenOn(QHostAddress(m_settings.gateway.address), m_settings.gateway.port);
    if (!gatewayPort)
        return withSetting(QStringLiteral("gateway.port"), gatewayPort.error());
    m_gatewayPort = gatewayPort.value();
    if (!m_parts->peerPort)
        return withSetting(QStringLiteral("peer.port"), m_parts->peerPort.error());
    m_peerPort = m_parts->peerPort.value();
    return outcome::success();
}

Result<void> Daemon::start()
{
    BOOST_OUTCOME_TRY(readSecrets());
    m_parts = std::make_unique<DaemonParts>(m_settings, m_peerSecret, m_operatorToken);
    BOOST_OUTCOME_TRY(listen());
    connectParts();
    m_parts->members.start();
    m_parts->spread.start();
    logEvent(LogLevel::Info, EventId::DaemonStarted,
             {{"vm", m_settings.vm.text()},
              {"data_centre", m_settings.dataCentre.text()},
              {"gateway_port", QString::number(m_gatewayPort)},
              {"peer_port", QString::number(m_peerPort)}});
    return outcome::success();
}

void Daemon::connectParts()
{
    m_parts->configuration.onInForce(
        [this](const std::shared_ptr<const Configuration> &) { applyConfiguration(); });
    m_parts->members.onNewerVersion([this](const VmId &from, ConfigurationVersion version) {
        m_parts->spread.onPeerVersion(from, version);
    });
    m_parts->gateway.setAttachClient(&m_parts->attachedAnswers);
    m_parts->gateway.setOperatorHandler(
        [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
            return m_parts->operatorApi.handle(request, responder);
        });
    m_parts->quarantine.onNews([this](const QCborMap &news) {
        m_parts->members.broadcast(PeerMessageKind::Quarantine, news);
    });
    m_parts->members.onBroadcast(PeerMessageKind::Quarantine,
                                 [this](const VmId &, const QCborMap &news) {
                                     m_parts->quarantine.handleNews(news, m_parts->timers.now());
                                 });
    const auto broadcastLeaving = [this](const TargetId &target, Incarnation incarnation) {
        m_parts->members.broadcast(PeerMessageKind::TargetLeaving,
                                   toCbor(TargetLeavingNews{target, incarnation}));
    };
    m_parts->poller.onLeaving(broadcastLeaving);
    m_parts->dispatcher.onTargetLeaving(broadcastLeaving);
    m_parts->members.onBroadcast(
        PeerMessageKind::TargetLeaving, [this](const VmId &, const QCborMap &body) {
            if (const std::optional<TargetLeavingNews> news = targetLeavingNewsFrom(body))
                m_parts->targets.markLeaving(news->target, news->incarnation);
        });
}

void Daemon::applyConfiguration()
{
    const std::shared_ptr<const Configuration> configuration = m_parts->configuration.current();
    const bool wasReady = m_parts->gateway.isReady();
    m_parts->dispatcher.setConfiguration(configuration);
    m_parts->poller.setConfiguration(*configuration);
    m_parts->gateway.setConfiguration(configuration);
    m_parts->members.setConfigurationVersion(configuration->version);
    if (!wasReady && m_parts->gateway.isReady())
        logEvent(LogLevel::Info, EventId::DaemonReady, {{"vm", m_settings.vm.text()}});
}

void Daemon::drain(std::function<void()> done)
{
    if (m_drainCallback)
        return;
    m_drainCallback = std::move(done);
    logEvent(LogLevel::Info, EventId::DaemonDraining, {{"vm", m_settings.vm.text()}});
    m_parts->gateway.announceDrain();
    m_parts->members.setLeaving();
    m_parts->drainTimer = m_parts->timers.after(m_settings.drainListenTime, [this] {
        m_parts->server.stopListening();
        m_parts->gateway.refuseNewRequests();
        m_parts->drainTimer =
            m_parts->timers.every(DrainPollInterval, [this] { finishDrainWhenIdle(); });
    });
}

void Daemon::finishDrainWhenIdle()
{
    const bool isWorking = m_parts->gateway.pending() > 0 || m_parts->attachHolder.followers() > 0;
    const bool isTransferring =
        m_parts->server.receivingConnections() > 0 || m_parts->server.unsentBytes() > 0;
    if (isWorking || isTransferring)
        return;
    m_parts->drainTimer.reset();
    logEvent(LogLevel::Info, EventId::DaemonStopped, {{"vm", m_settings.vm.text()}});
    m_drainCallback();
}

} // namespace cranberry
