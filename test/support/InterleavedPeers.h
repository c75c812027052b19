// Defines InterleavedPeers, one daemon's network of peers over an InterleavedService.
#pragma once

#include "peer/PeerNetwork.h"
#include "support/InterleavedService.h"

#include <map>
#include <memory>

namespace cranberry::test {

/// The handlers of all daemons of one test, by VM and kind of message.
using PeerHandlers = std::map<std::pair<VmId, PeerMessageKind>, PeerNetwork::Handler>;

/// Messages are lost, come twice, or come late. Thread safety: one thread.
class InterleavedPeers final : public PeerNetwork
{
public:
    InterleavedPeers(InterleavedService &service, std::shared_ptr<PeerHandlers> handlers, VmId self,
                     int faultsPerCent)
        : m_service(service)
        , m_handlers(std::move(handlers))
        , m_self(std::move(self))
        , m_faultsPerCent(size_t(faultsPerCent))
    {
    }

    bool send(const VmId &vm, PeerMessageKind kind, const QCborMap &body) override
    {
        const bool isLost = m_service.draw(100) < m_faultsPerCent;
        const bool isDoubled = m_service.draw(100) < m_faultsPerCent;
        const auto deliver = [=, handlers = m_handlers, self = m_self] {
            const auto handler = handlers->find({vm, kind});
            if (handler != handlers->end())
                handler->second(self, body);
        };
        for (int copies = 1 - int(isLost) + int(isDoubled); copies > 0; --copies)
            m_service.post(deliver);
        return true;
    }

    void subscribe(PeerMessageKind kind, Handler handler) override
    {
        (*m_handlers)[{m_self, kind}] = std::move(handler);
    }

private:
    InterleavedService &m_service;
    std::shared_ptr<PeerHandlers> m_handlers;
    VmId m_self;
    size_t m_faultsPerCent;
};

} // namespace cranberry::test
