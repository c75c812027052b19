#include "relay/LimitExchange.h"

#include "base/EventLog.h"
#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "membership/RendezvousHash.h"
#include "relay/DataCentreHeads.h"
#include "relay/LimitMessages.h"
#include "relay/PeerDatagrams.h"
#include "relay/PeerDirectory.h"
#include "relay/TargetLimits.h"

#include <QCborArray>
#include <QRandomGenerator>

namespace cranberry {

namespace {

/// Answers that name a limit are announced again at this interval, as datagrams may be lost.
constexpr Milliseconds RefreshInterval{500};
/// A daemon that is not the owner tells this to one that takes it for the owner.
constexpr Milliseconds NotOwnerDelay{200};
/// Number of daemons that a daemon asks when it starts; some of them may have ended.
constexpr int MaxQueries = 4;

} // namespace

LimitExchange::LimitExchange(TimerService &timers, PeerDirectory &peers, DataCentreHeads &heads,
                             PeerDatagrams &datagrams, TargetLimits &limits,
                             std::function<bool(const TargetId &)> isKnown)
    : m_timers(timers)
    , m_peers(peers)
    , m_heads(heads)
    , m_datagrams(datagrams)
    , m_limits(limits)
    , m_isKnown(std::move(isKnown))
    , m_refreshTimer(timers.every(RefreshInterval, [this] { refresh(); }))
{
    datagrams.onMessage(DatagramKind::Limit, [this](const Peer &from, const QCborArray &body) {
        handleMessage(from, body);
    });
    limits.onAsk([this](const PermitAsk &permits) { ask(permits); });
    limits.onNews([this](const LimitNews &news) { sendNews({news}); });
}

LimitExchange::~LimitExchange() = default;

QList<Peer> LimitExchange::reachablePeers() const
{
    QList<Peer> peers = m_peers.directReceivers();
    peers.removeIf([this](const Peer &peer) { return !m_peers.isRecentlyHeard(peer); });
    return peers;
}

VmId LimitExchange::ownerOf(const TargetId &target, const QList<Peer> &reachable) const
{
    QList<VmId> members;
    for (const Peer &peer : reachable)
        members.append(peer.vm);
    if (!m_peers.self().isDraining || members.isEmpty())
        members.append(m_peers.self().vm);
    return rendezvousOwner(target.text(), members);
}

void LimitExchange::refresh()
{
    m_limits.forgetGone(m_isKnown);
    sendNews(m_limits.takeUnannounced());
    if (m_owned.empty())
        return;
    const QList<Peer> reachable = reachablePeers();
    for (auto owned = m_owned.begin(); owned != m_owned.end();) {
        const TargetId &target = owned->first;
        const bool isOwner = ownerOf(target, reachable) == m_peers.self().vm;
        if (isOwner && m_limits.isLimited(target)) {
            ++owned;
            continue;
        }
        logEvent(
            LogLevel::Info, EventId::PermitsNotOwned,
            {{"target", target.text()},
             {"reason",
              isOwner ? QStringLiteral("no limit") : QStringLiteral("another daemon owns it")}});
        owned = m_owned.erase(owned);
    }
}

void LimitExchange::sendNews(const QList<LimitNews> &news)
{
    for (qsizetype first = 0; first < news.size(); first += MaxTargetsPerNews)
        m_heads.sendToAll(DatagramKind::Limit,
                          encodeNews(news.mid(first, MaxTargetsPerNews), m_timers.now()));
}

void LimitExchange::sendKnown(const Peer &peer)
{
    const QList<LimitNews> news = m_limits.known();
    for (qsizetype first = 0; first < news.size(); first += MaxTargetsPerNews)
        m_datagrams.send({peer}, DatagramKind::Limit,
                         encodeNews(news.mid(first, MaxTargetsPerNews), m_timers.now()));
}

void LimitExchange::queryOnce(const QList<Peer> &peers)
{
    if (m_hasQueried || peers.isEmpty())
        return;
    m_hasQueried = true;
    QList<Peer> left = peers;
    for (int asked = 0; asked < MaxQueries && !left.isEmpty(); ++asked) {
        const int chosen = QRandomGenerator::global()->bounded(int(left.size()));
        m_datagrams.send({left.takeAt(chosen)}, DatagramKind::Limit, encodeQuery());
    }
}

double LimitExchange::ownPart(const TargetId &target) const
{
    const auto owned = m_owned.find(target);
    return owned == m_owned.end() ? 0 : owned->second.part;
}

void LimitExchange::ask(const PermitAsk &ask)
{
    const QList<Peer> reachable = reachablePeers();
    const VmId owner = ownerOf(ask.news.target, reachable);
    if (owner == m_peers.self().vm) {
        m_limits.handleAnswer(answerAsk(ask, owner), owner);
        return;
    }
    for (const Peer &peer : reachable) {
        if (peer.vm == owner)
            m_datagrams.send({peer}, DatagramKind::Limit, encodeAsk(ask, m_timers.now()));
    }
}

PermitAnswer LimitExchange::answerAsk(const PermitAsk &ask, const VmId &from)
{
    const TargetId &target = ask.news.target;
    PermitAnswer answer{target, ask.number, {0, NotOwnerDelay}};
    const QList<Peer> reachable = reachablePeers();
    // A daemon that the store has not listed the others to does not know how many there are.
    if (!m_peers.hasListed() || ownerOf(target, reachable) != m_peers.self().vm)
        return answer;
    // The daemon that asks may know of a limit that has ended since; the end reaches it later.
    const double perSecond =
        m_limits.limitOf(target).value_or(ask.news.evidence.perSecond.value_or(0));
    const int daemons = m_peers.knownDaemons();
    const LimitPart part = limitPart(perSecond, int(reachable.size()) + 1, daemons);
    auto owned = m_owned.find(target);
    if (owned == m_owned.end()) {
        owned = m_owned.emplace(target, Owned{openBucket(m_timers.now()), part.perSecond}).first;
        logEvent(LogLevel::Info, EventId::PermitsOwned,
                 {{"target", target.text()},
                  {"per_second", QString::number(perSecond)},
                  {"part", QString::number(part.perSecond)},
                  {"reachable", QString::number(reachable.size() + 1)},
                  {"daemons", QString::number(daemons)},
                  {"by", from.text()}});
    }
    owned->second.part = part.perSecond;
    answer.grant = grantPermits(owned->second.bucket, part, ask.wanted, ask.unreported,
                                m_timers.now(), QRandomGenerator::global()->generateDouble());
    m_permitsGranted += answer.grant.count;
    return answer;
}

void LimitExchange::handleMessage(const Peer &from, const QCborArray &body)
{
    const std::optional<LimitMessageKind> kind = limitMessageKind(body);
    if (!kind)
        return;
    const MonotonicTime now = m_timers.now();
    switch (*kind) {
    case LimitMessageKind::News:
        for (const LimitNews &news : decodeNews(body, now))
            m_limits.recordNews(news, from.vm);
        break;
    case LimitMessageKind::Query:
        sendKnown(from);
        break;
    case LimitMessageKind::Ask:
        if (const auto ask = decodeAsk(body, now)) {
            m_limits.recordNews(ask->news, from.vm);
            m_datagrams.send({from}, DatagramKind::Limit, encodeAnswer(answerAsk(*ask, from.vm)));
        }
        break;
    case LimitMessageKind::Grant:
        if (const auto answer = decodeAnswer(body))
            m_limits.handleAnswer(*answer, from.vm);
        break;
    }
}

} // namespace cranberry
