#include "support/StoreCalls.h"

#include "support/EventLoop.h"

#include <boost/test/unit_test.hpp>

namespace cranberry::test {

namespace {

template <typename T>
T awaited(const std::function<void(std::function<void(T)>)> &start)
{
    std::optional<T> answer;
    start([&answer](T value) { answer = std::move(value); });
    BOOST_REQUIRE(waitFor([&] { return answer.has_value(); }));
    return *answer;
}

} // namespace

Result<KeyValue> StoreCalls::read(const QString &key)
{
    return awaited<Result<KeyValue>>([&](auto done) { m_store.read(key, done); });
}

Result<QList<KeyValue>> StoreCalls::list(const QString &prefix)
{
    return awaited<Result<QList<KeyValue>>>([&](auto done) { m_store.list(prefix, done); });
}

SwapResult StoreCalls::swap(const QString &key, Revision expected, const QByteArray &value,
                            std::optional<LeaseId> lease)
{
    return awaited<SwapResult>(
        [&](auto done) { m_store.compareAndSwap(key, expected, value, lease, done); });
}

SwapResult StoreCalls::remove(const QString &key, Revision expected)
{
    return awaited<SwapResult>([&](auto done) { m_store.remove(key, expected, done); });
}

Result<LeaseId> StoreCalls::grantLease(Milliseconds duration)
{
    return awaited<Result<LeaseId>>([&](auto done) { m_store.grantLease(duration, done); });
}

Result<LeaseId> StoreCalls::renewLease(LeaseId lease)
{
    return awaited<Result<LeaseId>>([&](auto done) { m_store.renewLease(lease, done); });
}

Result<QList<ListedVm>> StoreCalls::listVms()
{
    return awaited<Result<QList<ListedVm>>>([&](auto done) { m_store.listVms(done); });
}

} // namespace cranberry::test
