#include "relay/TargetNews.h"

#include "base/TimerService.h"
#include "base/TimerSubscription.h"
#include "relay/DataCentreHeads.h"
#include "relay/PeerDatagrams.h"
#include "relay/PeerDirectory.h"
#include "relay/TargetDirectory.h"

#include <QCborArray>
#include <QCborValue>
#include <QRandomGenerator>

namespace cranberry {

namespace {

/// Daemons that hear of a leaving target from the store do so within some 40 ms of each other. Each
/// waits for a moment of its own, so that one or two of them speak and the others have heard.
constexpr int MostDelayMilliseconds = 40;

} // namespace

TargetNews::TargetNews(TimerService &timers, PeerDirectory &peers, DataCentreHeads &heads,
                       PeerDatagrams &datagrams, TargetDirectory &targets,
                       std::function<bool()> hearsOfTargets)
    : m_timers(timers)
    , m_peers(peers)
    , m_heads(heads)
    , m_hearsOfTargets(std::move(hearsOfTargets))
    , m_datagrams(datagrams)
    , m_targets(targets)
{
    datagrams.onMessage(DatagramKind::Leaving,
                        [this](const Peer &, const QCborArray &body) { heardLeaving(body); });
    datagrams.onMessage(DatagramKind::Copy,
                        [this](const Peer &, const QCborArray &body) { heardCopy(body); });
}

TargetNews::~TargetNews() = default;

void TargetNews::leaving(const TargetId &target)
{
    const int delay = QRandomGenerator::global()->bounded(MostDelayMilliseconds);
    m_toTell.insert(target, m_timers.after(Milliseconds(delay), [this, target] {
        m_toTell.remove(target);
        tellLeaving(target);
    }));
}

void TargetNews::tellLeaving(const TargetId &target)
{
    const TargetRecord *record = m_targets.find(target);
    if (!record)
        return;
    const auto left = std::chrono::duration_cast<Milliseconds>(record->leavesAt - m_timers.now());
    const QCborArray body{target.text(), qint64(left.count())};
    // While the store is away only daemons with a generation there have asked the target.
    if (m_hearsOfTargets())
        m_datagrams.send(m_peers.audience(), DatagramKind::Leaving, body);
    else
        m_heads.tellAll(DatagramKind::Leaving, body);
}

void TargetNews::heardLeaving(const QCborArray &body)
{
    const TargetId target(body.at(0).toString());
    m_toTell.remove(target);
    m_targets.heardLeaving(target, Milliseconds(body.at(1).toInteger()));
}

void TargetNews::copyOrdered(const TargetId &source, const TargetId &destination,
                             Milliseconds duration)
{
    m_targets.copyOrdered(source, destination, duration);
    m_heads.tellAll(DatagramKind::Copy,
                    QCborArray{source.text(), destination.text(), qint64(duration.count())});
}

void TargetNews::copyRefused(const TargetId &source, const TargetId &destination,
                             Milliseconds duration)
{
    m_targets.copyRefused(source, destination, duration);
    m_heads.tellAll(DatagramKind::Copy,
                    QCborArray{source.text(), destination.text(), -qint64(duration.count())});
}

void TargetNews::heardCopy(const QCborArray &body)
{
    const TargetId source(body.at(0).toString());
    const TargetId destination(body.at(1).toString());
    const Milliseconds duration(body.at(2).toInteger());
    if (duration.count() >= 0)
        m_targets.copyOrdered(source, destination, duration);
    else
        m_targets.copyRefused(source, destination, -duration);
}

} // namespace cranberry
