// Defines SoloMember, the member view of a daemon that knows no other.
#pragma once

#include "membership/MemberView.h"

namespace cranberry {

/// Thread safety: immutable, so thread-safe.
class SoloMember final : public MemberView
{
public:
    SoloMember(const VmId &vm, const DataCentreId &dataCentre)
    {
        m_self.vm = vm;
        m_self.dataCentre = dataCentre;
    }

    VmId self() const override { return m_self.vm; }
    QList<Member> members() const override { return { m_self }; }
    QList<Member> liveMembers() const override { return { m_self }; }

private:
    Member m_self;
};

} // namespace cranberry
