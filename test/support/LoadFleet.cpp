#include "support/LoadFleet.h"

#include "support/EventLoop.h"

#include <QCborArray>
#include <QUdpSocket>

namespace cranberry::test {

namespace {

const QString Localhost = QStringLiteral("127.0.0.1");
constexpr int Heads = 2;

DataCentreId nameOf(int dataCentre)
{
    return DataCentreId(QStringLiteral("hall%1").arg(dataCentre));
}

/// A port that no other socket has at this moment.
quint16 freePort()
{
    QUdpSocket socket;
    socket.bind(QHostAddress(Localhost), 0);
    return socket.localPort();
}

RelayTarget targetOf(const QString &kind, int dataCentre)
{
    RelayTarget target;
    target.id = TargetId(QStringLiteral("%1-%2").arg(kind).arg(dataCentre));
    target.service = ServiceId(kind);
    target.dataCentre = nameOf(dataCentre);
    return target;
}

} // namespace

LoadFleet::Application::Application()
{
    ensureApplication();
}

LoadDaemon::LoadDaemon(QtTimerService &timers, HttpClient &client, const Peer &self)
    : targets(timers)
    , peers(timers, client, {}, protocol, counters, self)
    , datagrams(peers)
    , heads(timers, peers, datagrams)
    , speeds(timers, targets)
    , loads(timers, peers, heads, datagrams, targets, speeds)
    , limits(timers)
    , limitExchange(timers, peers, heads, datagrams, limits,
                    [this](const TargetId &target) { return targets.find(target) != nullptr; })
    , admission(timers, peers, datagrams, {})
{
    loads.setHasEngine(
        [](const ServiceId &service) { return service.text() == QLatin1String("engine"); });
    targets.onOwnLoad([this](const TargetId &target, bool isIncrease) {
        loads.handleLoadChange(target, isIncrease);
    });
    admission.setWaiting([this] { return waiting; });
    admission.setIsKnown([](const ServiceId &service) {
        return service.text() == QLatin1String("engine")
            || service.text() == QLatin1String("plain");
    });
    loads.setRates(
        [this] { return admission.rates(); },
        [this](const VmId &peer, const QCborArray &rows) { admission.receiveRates(peer, rows); });
    datagrams.listenOn(self.endpoint);
}

LoadFleet::LoadFleet(int dataCentres, int each)
    : m_each(each)
{
    QList<Peer> all;
    for (int i = 0; i < dataCentres * each; ++i) {
        Peer peer;
        peer.vm = VmId(QStringLiteral("vm%1").arg(i));
        peer.dataCentre = nameOf(i / each);
        peer.endpoint = {Localhost, freePort()};
        all.append(peer);
        m_daemons.push_back(std::make_unique<LoadDaemon>(m_timers, m_client, peer));
    }
    for (const auto &daemon : m_daemons) {
        for (const Peer &peer : std::as_const(all))
            daemon->peers.recordMessage(peer);
        for (int i = 0; i < dataCentres; ++i) {
            daemon->targets.put(targetOf(QStringLiteral("engine"), i));
            daemon->targets.put(targetOf(QStringLiteral("plain"), i));
        }
    }
}

LoadFleet::~LoadFleet() = default;

LoadDaemon &LoadFleet::daemon(int dataCentre, int index)
{
    return *m_daemons.at(size_t(dataCentre) * size_t(m_each) + size_t(index));
}

bool LoadFleet::all(const std::function<bool(const LoadDaemon &daemon)> &condition) const
{
    return std::all_of(m_daemons.cbegin(), m_daemons.cend(),
                       [&](const auto &daemon) { return !daemon || condition(*daemon); });
}

bool LoadFleet::headsAreKnown() const
{
    return all([](const LoadDaemon &daemon) {
        const qsizetype others = daemon.peers.otherDataCentres().size();
        return !daemon.heads.isHead() || daemon.heads.remoteHeads().size() == Heads * others;
    });
}

void LoadFleet::kill(int dataCentre, int index)
{
    m_daemons.at(size_t(dataCentre) * size_t(m_each) + size_t(index)).reset();
}

void LoadFleet::killHeads(int dataCentre)
{
    for (int i = 0; i < m_each; ++i) {
        auto &daemon = m_daemons.at(size_t(dataCentre) * size_t(m_each) + size_t(i));
        if (daemon->heads.isHead())
            daemon.reset();
    }
}

} // namespace cranberry::test
