// Defines StoreEmulator, a stand-in of the users' platform's store inside a test.
#pragma once

#include "base/QtTimerService.h"
#include "http/HttpListener.h"

#include <QJsonObject>
#include <QMap>

#include <array>
#include <list>
#include <memory>

namespace cranberry::standin {

/// Speaks reads, watches, leases and writes as the platform's pages describe them, and fails as a
/// test tells it. Leases never end by themselves.
/// Thread safety: only from the thread of its event loop.
class StoreEmulator
{
public:
    StoreEmulator();
    ~StoreEmulator();

    /// Two addresses, of which each can be closed by itself.
    enum class Door {
        First,
        Second,
    };

    HttpEndpoint endpoint(Door door) const { return m_endpoints[std::size_t(door)]; }

    /// Writes as the operator or a runner does.
    void put(const QString &key, const QByteArray &value);
    void remove(const QString &key);

    /// All calls at that address are answered with 503.
    void refuse(Door door, bool refused);
    /// Calls are taken and never answered.
    void setSilent(bool silent) { m_silent = silent; }
    /// Watches that wait are cut off; those opened from now on hear nothing until the next call.
    void cutWatches(bool hearNothing);
    /// What happened up to now cannot be watched any more.
    void compact() { m_compacted = m_revision; }

    int calls(const QByteArray &path) const { return m_calls.value(path); }
    /// How many ms the last watch of that prefix wanted to wait.
    int lastWait(const QString &prefix) const { return m_waits.value(prefix); }
    /// Reads of that prefix.
    int reads(const QString &prefix) const { return m_reads.value(prefix); }

private:
    struct Item {
        QByteArray value;
        qint64 revision = 0;
        bool isRemoved = false;
    };
    struct Watch {
        QString prefix;
        qint64 after = 0;
        bool isDeaf = false;
        Door door = Door::First;
        std::shared_ptr<CallerReply> reply;
        std::unique_ptr<TimerSubscription> timeout;
    };

    std::unique_ptr<HttpListener> openDoor(Door door);
    void handle(Door door, const HttpRequest &request, const std::shared_ptr<CallerReply> &reply);
    void range(const class QUrlQuery &query, const std::shared_ptr<CallerReply> &reply);
    void watch(Door door, const class QUrlQuery &query, const std::shared_ptr<CallerReply> &reply);
    void write(const QJsonObject &body, const std::shared_ptr<CallerReply> &reply);
    QJsonArray itemsAfter(const QString &prefix, qint64 after) const;
    void wake();

    QtTimerService m_timers;
    std::array<HttpEndpoint, 2> m_endpoints;
    QMap<QString, Item> m_items;
    qint64 m_revision = 1;
    qint64 m_compacted = 0;
    qint64 m_leases = 0;
    std::array<bool, 2> m_refused{};
    bool m_deaf = false;
    bool m_silent = false;
    /// Keeps callers that are not answered waiting.
    std::list<std::shared_ptr<CallerReply>> m_unanswered;
    QHash<QByteArray, int> m_calls;
    QHash<QString, int> m_reads;
    QHash<QString, int> m_waits;
    std::list<Watch> m_watches;
    std::array<std::unique_ptr<HttpListener>, 2> m_listeners;
};

} // namespace cranberry::standin
