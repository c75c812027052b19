#pragma once

#include "base/Units.h"

#include <QSet>

namespace cranberry {

class CallerConnection;

/// The account of what callers and servers make a process hold: parts of requests, requests in
/// progress, responses that are not sent, and responses of servers that are being received. Frees
/// connections of callers when it is full.
/// Thread safety: only from the thread of the listeners.
class CallerMemory
{
public:
    /// No limit until setCapacity() is called.
    CallerMemory();

    void setCapacity(Bytes capacity) { m_capacity = capacity; }
    Bytes capacity() const { return m_capacity; }
    Bytes held() const { return m_held; }
    /// Connections that were closed, and requests that were rejected or cut off, for lack of room.
    qint64 reclaimed() const { return m_reclaimed; }
    void countReclaimed() { ++m_reclaimed; }

    /// Adds @p bytes, which may be negative, to what is held. Used by MemoryCharge.
    void add(Bytes bytes) { m_held += bytes; }
    /// @p connection holds memory that reclaim() may free, until it is removed.
    void addConnection(CallerConnection *connection) { m_connections.insert(connection); }
    void removeConnection(CallerConnection *connection) { m_connections.remove(connection); }

    /// Whether a holder has room for @p own bytes, which are part of held().
    bool hasRoomFor(Bytes own) const;
    /// If there is no room for @p own bytes, which are part of held(), frees connections. May close
    /// any registered connection that holds no request in progress. Returns whether there is room.
    bool makeRoomFor(Bytes own);

private:
    void reclaim(Bytes wanted);

    Bytes m_capacity;
    Bytes m_held{0};
    qint64 m_reclaimed = 0;
    bool m_isReclaiming = false;
    QSet<CallerConnection *> m_connections;
};

} // namespace cranberry
