#include "support/MemoryKeyValueStore.h"

#include <QMetaObject>

namespace cranberry::test {

namespace {

Error platformDown()
{
    Error error;
    error.kind = ErrorKind::PlatformUnavailable;
    error.detail = QStringLiteral("down for a test");
    return error;
}

} // namespace

MemoryKeyValueStore::MemoryKeyValueStore(std::shared_ptr<MemoryKeyValueTable> table)
    : m_table(std::move(table))
{
    m_subscription = m_table->written.insert(m_table->written.end(), [this] { endWatches(); });
}

MemoryKeyValueStore::~MemoryKeyValueStore()
{
    m_table->written.erase(m_subscription);
}

void MemoryKeyValueStore::resume()
{
    m_heldPrefix.clear();
    const auto held = std::exchange(m_held, {});
    for (const auto &call : held)
        later(call);
}

void MemoryKeyValueStore::later(std::function<void()> call)
{
    QMetaObject::invokeMethod(&m_context, std::move(call), Qt::QueuedConnection);
}

void MemoryKeyValueStore::read(const QString &key, ReadCallback callback)
{
    ++m_table->reads;
    auto look = [this, key, callback = std::move(callback)] {
        if (isDown)
            callback(platformDown());
        else
            callback(m_table->entries.value(key, KeyValue{key, {}, {}}));
    };
    if (!m_heldPrefix.isEmpty() && key.startsWith(m_heldPrefix))
        m_held.push_back(std::move(look));
    else
        later(std::move(look));
}

void MemoryKeyValueStore::list(const QString &prefix, ListCallback callback)
{
    ++m_table->reads;
    later([this, prefix, callback = std::move(callback)] {
        if (isDown)
            callback(platformDown());
        else
            callback(entriesUnder(prefix, Revision()));
    });
}

SwapResult MemoryKeyValueStore::write(const QString &key, Revision expected,
                                      const std::function<void()> &effect)
{
    if (isDown)
        return {SwapOutcome::NotWritten, {}};
    if (const auto before = std::exchange(beforeNextWrite, {}))
        before();
    if (loseRequests > 0) {
        --loseRequests;
        return {SwapOutcome::Unknown, {}};
    }
    const Revision present = m_table->entries.value(key).revision;
    const bool matches = present == expected;
    if (matches) {
        effect();
        const auto subscribers = m_table->written;
        for (const auto &written : subscribers)
            written();
    }
    if (loseAnswers > 0) {
        --loseAnswers;
        return {SwapOutcome::Unknown, {}};
    }
    if (!matches)
        return {SwapOutcome::Conflict, present};
    return {SwapOutcome::Swapped, Revision(m_table->lastRevision)};
}

void MemoryKeyValueStore::compareAndSwap(const QString &key, Revision expected,
                                         const QByteArray &value, std::optional<LeaseId>,
                                         SwapCallback callback)
{
    ++m_table->writes;
    later([this, key, expected, value, callback = std::move(callback)] {
        callback(write(key, expected, [&] {
            m_table->entries.insert(key, {key, value, Revision(++m_table->lastRevision)});
        }));
    });
}

void MemoryKeyValueStore::remove(const QString &key, Revision expected, SwapCallback callback)
{
    ++m_table->writes;
    later([this, key, expected, callback = std::move(callback)] {
        callback(write(key, expected, [&] {
            m_table->entries.remove(key);
            ++m_table->lastRevision;
        }));
    });
}

QList<KeyValue> MemoryKeyValueStore::entriesUnder(const QString &prefix, Revision after) const
{
    QList<KeyValue> found;
    for (const KeyValue &entry : std::as_const(m_table->entries)) {
        if (entry.key.startsWith(prefix) && after < entry.revision)
            found.append(entry);
    }
    return found;
}

void MemoryKeyValueStore::watch(const QString &prefix, Revision after, Milliseconds,
                                ListCallback callback)
{
    ++m_table->watches;
    if (isDown) {
        later([callback = std::move(callback)] { callback(platformDown()); });
        return;
    }
    m_watches.push_back({prefix, after, std::move(callback)});
    endWatches();
}

void MemoryKeyValueStore::failWatches()
{
    for (const Watch &watch : std::exchange(m_watches, {}))
        later([callback = watch.callback] { callback(platformDown()); });
}

void MemoryKeyValueStore::endWatches()
{
    for (auto it = m_watches.begin(); it != m_watches.end();) {
        if (entriesUnder(it->prefix, it->after).isEmpty()) {
            ++it;
            continue;
        }
        later([this, watch = *it] { watch.callback(entriesUnder(watch.prefix, watch.after)); });
        it = m_watches.erase(it);
    }
}

void MemoryKeyValueStore::grantLease(Milliseconds, LeaseCallback callback)
{
    later([this, callback = std::move(callback)] { callback(LeaseId(++m_table->lastLease)); });
}

void MemoryKeyValueStore::renewLease(LeaseId lease, LeaseCallback callback)
{
    later([lease, callback = std::move(callback)] { callback(lease); });
}

void MemoryKeyValueStore::listVms(VmsCallback callback)
{
    later([callback = std::move(callback)] { callback(QList<ListedVm>()); });
}

} // namespace cranberry::test
