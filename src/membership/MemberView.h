#pragma once

#include "base/Ids.h"
#include "base/Units.h"

#include <QList>

namespace cranberry {

enum class MemberState {
    Alive,
    Suspect,
    Leaving,
    Dead,
};

/// Greater than any time in milliseconds, and can be incremented without overflow.
constexpr Incarnation MaxIncarnation{Q_INT64_C(1) << 62};

struct Member {
    VmId vm;
    DataCentreId dataCentre;
    QString address;
    quint16 peerPort = 0;
    Incarnation incarnation;
    MemberState state = MemberState::Alive;
    ConfigurationVersion configurationVersion;
};

/// One daemon's view of the fleet: read access to the members. Two daemons may hold different views
/// at the same time, so membership may affect performance but correctness must not depend on it.
/// Thread safety: thread-safe.
class MemberView
{
public:
    virtual ~MemberView() = default;

    virtual VmId self() const = 0;
    /// All known members including this daemon, ordered by id.
    virtual QList<Member> members() const = 0;
    /// Members in state Alive or Suspect, and this daemon unless it is leaving, ordered by id.
    virtual QList<Member> liveMembers() const = 0;
};

} // namespace cranberry
