// Defines MemoryPeerNetwork, messages between daemons inside a test program.
#pragma once

#include "peer/PeerNetwork.h"

#include <QMap>
#include <QObject>

#include <map>
#include <memory>

namespace cranberry::test {

class MemoryPeerNetwork;

/// What the networks of one test share.
using MemoryPeerTable = std::map<VmId, MemoryPeerNetwork *>;

/// The network of one daemon. Thread safety: one thread, in which an event loop runs.
class MemoryPeerNetwork final : public PeerNetwork
{
public:
    MemoryPeerNetwork(VmId self, std::shared_ptr<MemoryPeerTable> table);
    ~MemoryPeerNetwork() override;

    bool send(const VmId &vm, PeerMessageKind kind, const QCborMap &body) override;
    void subscribe(PeerMessageKind kind, Handler handler) override;

    /// While set, nothing comes in or goes out, and senders are not told.
    bool isCut = false;
    int sent = 0;

private:
    void receive(const VmId &from, PeerMessageKind kind, const QCborMap &body);

    const VmId m_self;
    std::shared_ptr<MemoryPeerTable> m_table;
    QMap<PeerMessageKind, Handler> m_handlers;
    QObject m_context;
};

} // namespace cranberry::test
