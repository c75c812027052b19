#include "support/MemoryPeerNetwork.h"

namespace cranberry::test {

MemoryPeerNetwork::MemoryPeerNetwork(VmId self, std::shared_ptr<MemoryPeerTable> table)
    : m_self(std::move(self))
    , m_table(std::move(table))
{
    m_table->emplace(m_self, this);
}

MemoryPeerNetwork::~MemoryPeerNetwork()
{
    m_table->erase(m_self);
}

bool MemoryPeerNetwork::send(const VmId &vm, PeerMessageKind kind, const QCborMap &body)
{
    const auto found = m_table->find(vm);
    if (found == m_table->end())
        return false;
    ++sent;
    if (!isCut)
        found->second->receive(m_self, kind, body);
    return true;
}

void MemoryPeerNetwork::receive(const VmId &from, PeerMessageKind kind, const QCborMap &body)
{
    const QByteArray wire = body.toCborValue().toCbor();
    const auto deliver = [this, from, kind, wire] {
        if (!isCut && m_handlers.contains(kind))
            m_handlers.value(kind)(from, QCborValue::fromCbor(wire).toMap());
    };
    QMetaObject::invokeMethod(&m_context, deliver, Qt::QueuedConnection);
}

// The signature is the interface's; the hash copies.
// NOLINTNEXTLINE(performance-unnecessary-value-param)
void MemoryPeerNetwork::subscribe(PeerMessageKind kind, Handler handler)
{
    m_handlers.insert(kind, handler);
}

} // namespace cranberry::test
