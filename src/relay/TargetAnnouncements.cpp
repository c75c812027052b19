#include "relay/TargetAnnouncements.h"

#include "base/BoundedDuration.h"
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

/// Daemons that learn of a leaving target from the store do so within about 40 ms of each other.
/// Each waits for a random delay, so that one or two of them send and the others have received it.
constexpr int MaxAnnouncementDelayMilliseconds = 40;

} // namespace

TargetAnnouncements::TargetAnnouncements(TimerService &timers, PeerDirectory &peers,
                                         DataCentreHeads &heads, PeerDatagrams &datagrams,
                                         TargetDirectory &targets,
                                         std::function<bool()> receivesTargetChanges)
    : m_timers(timers)
    , m_peers(peers)
    , m_heads(heads)
    , m_receivesTargetChanges(std::move(receivesTargetChanges))
    , m_datagrams(datagrams)
    , m_targets(targets)
{
    datagrams.onMessage(DatagramKind::Leaving,
                        [this](const Peer &, const QCborArray &body) { handleLeaving(body); });
    datagrams.onMessage(DatagramKind::Copy,
                        [this](const Peer &, const QCborArray &body) { handleCopy(body); });
}

TargetAnnouncements::~TargetAnnouncements() = default;

void TargetAnnouncements::announceLeaving(const TargetId &target)
{
    const int delay = QRandomGenerator::global()->bounded(MaxAnnouncementDelayMilliseconds);
    m_pendingAnnouncements.insert(target, m_timers.after(Milliseconds(delay), [this, target] {
        m_pendingAnnouncements.remove(target);
        sendLeaving(target);
    }));
}

void TargetAnnouncements::sendLeaving(const TargetId &target)
{
    const TargetRecord *record = m_targets.find(target);
    if (!record)
        return;
    const auto left = std::chrono::duration_cast<Milliseconds>(record->leavesAt - m_timers.now());
    const QCborArray body{target.text(), qint64(left.count())};
    // During an outage of the store, only daemons with a generation at the target have asked it.
    if (m_receivesTargetChanges())
        m_datagrams.send(m_peers.directReceivers(), DatagramKind::Leaving, body);
    else
        m_heads.sendToAll(DatagramKind::Leaving, body);
}

void TargetAnnouncements::handleLeaving(const QCborArray &body)
{
    const TargetId target(body.at(0).toString());
    m_pendingAnnouncements.remove(target);
    m_targets.markLeavingByPeer(target, boundedDuration(body.at(1).toInteger()));
}

void TargetAnnouncements::copyOrdered(const TargetId &source, const TargetId &destination,
                                      Milliseconds duration)
{
    m_targets.copyOrdered(source, destination, duration);
    m_heads.sendToAll(DatagramKind::Copy,
                      QCborArray{source.text(), destination.text(), qint64(duration.count())});
}

void TargetAnnouncements::copyRefused(const TargetId &source, const TargetId &destination,
                                      Milliseconds duration)
{
    m_targets.copyRefused(source, destination, duration);
    m_heads.sendToAll(DatagramKind::Copy,
                      QCborArray{source.text(), destination.text(), -qint64(duration.count())});
}

void TargetAnnouncements::handleCopy(const QCborArray &body)
{
    const TargetId source(body.at(0).toString());
    const TargetId destination(body.at(1).toString());
    const qint64 duration = body.at(2).toInteger();
    if (duration >= 0)
        m_targets.copyOrdered(source, destination, boundedDuration(duration));
    else
        m_targets.copyRefused(source, destination, boundedDuration(-double(duration)));
}

} // namespace cranberry
