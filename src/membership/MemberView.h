// Defines MemberView, what one daemon knows of the others.
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

/// Far beyond any time in milliseconds, and one more still fits.
constexpr Incarnation LargestIncarnation{Q_INT64_C(1) << 62};

struct Member {
    VmId vm;
    DataCentreId dataCentre;
    QString address;
    quint16 peerPort = 0;
    Incarnation incarnation;
    MemberState state = MemberState::Alive;
    ConfigurationVersion configurationVersion;
};

/// Read access to the members. Membership only decides how well things go, never whether
/// they are right: two daemons may hold different views at the same moment.
/// Thread safety: thread-safe.
class MemberView
{
public:
    virtual ~MemberView() = default;

    virtual VmId self() const = 0;
    /// Everyone known, this daemon included, ordered by id.
    virtual QList<Member> members() const = 0;
    /// Those in state Alive or Suspect, this daemon included, ordered by id.
    virtual QList<Member> liveMembers() const = 0;
};

} // namespace cranberry
