// Defines InterleavedStore, one daemon's view of an InterleavedService.
#pragma once

#include "platformstore/KeyValueStore.h"
#include "support/InterleavedService.h"

namespace cranberry::test {

/// A write may be answered, take effect without an answer, be lost, or take effect late. Reads
/// fail now and then. Leases, watches and the VM list are not offered.
/// Thread safety: one thread.
class InterleavedStore final : public KeyValueStore
{
public:
    /// Of a hundred writes so many lack a regular answer, of a hundred reads a fifth of that.
    explicit InterleavedStore(InterleavedService &service, int faultsPerCent)
        : m_service(service)
        , m_faultsPerCent(size_t(faultsPerCent))
    {
    }

    void read(const QString &key, ReadCallback callback) override
    {
        constexpr size_t ReadShare = 5;
        if (m_service.draw(100 * ReadShare) < m_faultsPerCent) {
            m_service.post([callback] { callback(unavailable()); });
            return;
        }
        m_service.post([this, key, callback] {
            m_service.post([callback, value = m_service.table.read(key)] { callback(value); });
        });
    }

    void compareAndSwap(const QString &key, Revision expected, const QByteArray &value,
                        std::optional<LeaseId>, SwapCallback callback) override
    {
        write([=] { return m_service.table.compareAndSwap(key, expected, value, std::nullopt); },
              callback);
    }

    void remove(const QString &key, Revision expected, SwapCallback callback) override
    {
        write([=] { return m_service.table.remove(key, expected); }, callback);
    }

    void list(const QString &, ListCallback callback) override { callback(unavailable()); }
    void watch(const QString &, Revision, Milliseconds, ListCallback callback) override
    {
        callback(unavailable());
    }
    void grantLease(Milliseconds, LeaseCallback callback) override { callback(unavailable()); }
    void renewLease(LeaseId, LeaseCallback callback) override { callback(unavailable()); }
    void listVms(VmsCallback callback) override { callback(unavailable()); }

private:
    enum Fault : size_t {
        AnswerLost,
        RequestLost,
        RequestLate,
        FaultCount,
    };

    static Error unavailable()
    {
        Error error;
        error.kind = ErrorKind::PlatformUnavailable;
        return error;
    }

    void write(const std::function<SwapResult()> &effect, const SwapCallback &callback)
    {
        const auto noAnswer = [callback] { callback({SwapOutcome::Unknown, Revision(0)}); };
        const bool isFaulty = m_service.draw(100) < m_faultsPerCent;
        const size_t fault = isFaulty ? m_service.draw(FaultCount) : size_t(FaultCount);
        if (fault == RequestLate)
            m_service.post([effect] { effect(); });
        if (fault == RequestLate || fault == RequestLost) {
            m_service.post(noAnswer);
            return;
        }
        m_service.post([this, effect, callback, noAnswer, fault] {
            const SwapResult result = effect();
            if (fault == AnswerLost)
                m_service.post(noAnswer);
            else
                m_service.post([callback, result] { callback(result); });
        });
    }

    InterleavedService &m_service;
    size_t m_faultsPerCent;
};

} // namespace cranberry::test
