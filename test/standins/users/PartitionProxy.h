// Defines PartitionProxy, which partitions a target from some daemons and not from others.
#pragma once

#include "base/Units.h"
#include "http/HttpEndpoint.h"

#include <QList>
#include <QSet>
#include <QTcpServer>

#include <functional>
#include <memory>

class QTcpSocket;

namespace cranberry::standin {

/// What happens to the connections of a daemon that is partitioned from a target.
enum class PartitionForm {
    /// Open connections and new ones carry nothing.
    Hang,
    /// Open connections are reset, and so is each new one.
    Reset,
    /// Open connections work; each new one is reset.
    ResetNew,
    /// Open connections work; new ones carry nothing.
    HangNew,
    /// Open connections work; each new one is closed in order before its request is read.
    CloseNew,
};

constexpr int PartitionFormCount = 5;

/// The name used in messages of tests. Thread-safe.
const char *partitionFormName(PartitionForm form);

/// Forwards connections to a target.
/// Thread safety: only from the thread of its event loop.
class PartitionProxy
{
public:
    /// Returns the daemon whose connection has this local port; negative if there is none.
    using OwnerLookup = std::function<int(quint16 port, quint16 proxyPort)>;

    PartitionProxy(const HttpEndpoint &target, OwnerLookup ownerOf);
    ~PartitionProxy();

    HttpEndpoint endpoint() const { return m_endpoint; }
    /// Forwards new connections to @p target, a process that replaced the former one.
    void setTarget(const HttpEndpoint &target) { m_target = target; }
    /// Partitions the target from @p daemons, and from no others, from now on.
    void partition(const QSet<int> &daemons, PartitionForm form);
    /// Closes the listening socket for @p time, as the end of the target's process does.
    void stopListeningFor(Milliseconds time);
    void heal() { partition({}, PartitionForm::Hang); }

private:
    struct Link;

    void accept();
    void removeClosedLinks();

    HttpEndpoint m_target;
    HttpEndpoint m_endpoint;
    OwnerLookup m_ownerOf;
    QSet<int> m_partitioned;
    PartitionForm m_form = PartitionForm::Hang;
    QList<std::shared_ptr<Link>> m_links;
    QTcpServer m_server;
};

} // namespace cranberry::standin
