// Defines MemoryKeyValueStore, the platform's service inside a test program, with its faults.
#pragma once

#include "platformstore/KeyValueStore.h"

#include <QMap>
#include <QObject>

#include <list>
#include <memory>

namespace cranberry::test {

/// What several stores of one test share.
struct MemoryKeyValueTable {
    QMap<QString, KeyValue> entries;
    qint64 lastRevision = 0;
    qint64 lastLease = 0;
    int reads = 0;
    int writes = 0;
    int watches = 0;
    /// Called after each write; stores use it to end their watches.
    std::list<std::function<void()>> written;
};

/// One client's view of a table. Several on one table stand for several daemons, each with
/// faults of its own.
/// Thread safety: one thread, in which an event loop runs.
class MemoryKeyValueStore final : public KeyValueStore
{
public:
    explicit MemoryKeyValueStore(std::shared_ptr<MemoryKeyValueTable> table);
    ~MemoryKeyValueStore() override;

    void read(const QString &key, ReadCallback callback) override;
    void list(const QString &prefix, ListCallback callback) override;
    void compareAndSwap(const QString &key, Revision expected, const QByteArray &value,
                        std::optional<LeaseId> lease, SwapCallback callback) override;
    void remove(const QString &key, Revision expected, SwapCallback callback) override;
    void watch(const QString &prefix, Revision after, Milliseconds timeout,
               ListCallback callback) override;
    void grantLease(Milliseconds duration, LeaseCallback callback) override;
    void renewLease(LeaseId lease, LeaseCallback callback) override;
    void listVms(VmsCallback callback) override;

    /// While set, reads fail and writes are NotWritten.
    bool isDown = false;
    /// The next so many writes take effect and are not answered.
    int loseAnswers = 0;
    /// The next so many writes take no effect and are not answered.
    int loseRequests = 0;
    /// Ends all waiting watches with a failure, as when the connections break.
    void failWatches();
    /// Reads of keys under @p prefix wait, before they look, until resume().
    void holdReads(const QString &prefix) { m_heldPrefix = prefix; }
    bool isHolding() const { return !m_held.empty(); }
    void resume();
    /// Called before the next write takes effect, once.
    std::function<void()> beforeNextWrite;

private:
    struct Watch {
        QString prefix;
        Revision after;
        ListCallback callback;
    };

    void later(std::function<void()> call);
    SwapResult write(const QString &key, Revision expected, const std::function<void()> &effect);
    QList<KeyValue> entriesUnder(const QString &prefix, Revision after) const;
    void endWatches();

    std::shared_ptr<MemoryKeyValueTable> m_table;
    std::list<std::function<void()>>::iterator m_subscription;
    std::list<Watch> m_watches;
    QString m_heldPrefix;
    std::list<std::function<void()>> m_held;
    QObject m_context;
};

} // namespace cranberry::test
