// Defines FixedMembers, a view of members that a test states.
#pragma once

#include "membership/MemberView.h"

namespace cranberry::test {

/// Thread safety: thread-safe, as it never changes.
class FixedMembers final : public MemberView
{
public:
    /// All of @p vms are alive.
    FixedMembers(VmId self, const QList<VmId> &vms)
        : m_self(std::move(self))
    {
        for (const VmId &vm : vms) {
            Member member;
            member.vm = vm;
            m_members.append(member);
        }
    }

    VmId self() const override { return m_self; }
    QList<Member> members() const override { return m_members; }
    QList<Member> liveMembers() const override { return m_members; }

private:
    VmId m_self;
    QList<Member> m_members;
};

} // namespace cranberry::test
