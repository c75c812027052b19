// Defines a helper that finds the process that holds one end of a loopback connection.
#pragma once

#include <QList>

namespace cranberry::test {

/// Returns the index in @p processes of the process with a TCP connection from @p localPort to
/// @p remotePort; negative if there is none. Thread-safe.
int connectionOwner(quint16 localPort, quint16 remotePort, const QList<qint64> &processes);

} // namespace cranberry::test
