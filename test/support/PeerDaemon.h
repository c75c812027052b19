// Defines PeerDaemon, the links and the membership of one daemon inside a test.
#pragma once

#include "membership/Membership.h"
#include "peer/PeerLinks.h"
#include "support/FakeVmList.h"

#include <memory>

namespace cranberry::test {

inline VmId numberedVm(int number)
{
    return VmId(QStringLiteral("vm%1").arg(number, 3, 10, QLatin1Char('0')));
}

/// One of several daemons on the loopback address of one process.
class PeerDaemon
{
public:
    PeerDaemon(TimerService &timers, FakeVmList &platform, int number,
               MembershipSettings settings = MembershipSettings())
        : m_timers(timers)
        , m_platform(platform)
        , m_settings(settings)
    {
        m_self.vm = numberedVm(number);
        m_self.dataCentre = DataCentreId(QStringLiteral("dc"));
        m_self.address = QStringLiteral("127.0.0.1");
        listen();
        ListedVm listed;
        listed.vm = m_self.vm.text();
        listed.dataCentre = m_self.dataCentre.text();
        listed.address = m_self.address;
        listed.peerPort = m_self.peerPort;
        platform.vms.append(listed);
    }

    /// Starts the membership. Precondition: it does not run.
    void start()
    {
        if (!links)
            listen();
        membership = std::make_unique<Membership>(m_timers, *links, m_platform, m_self, m_settings);
        membership->start();
    }

    /// What is left when the process is gone: nothing.
    void kill()
    {
        membership.reset();
        links.reset();
    }

    /// What is left when the process hangs: the links, on which nothing is said.
    void hang() { membership.reset(); }

    const VmId &vm() const { return m_self.vm; }

    /// Empty if it does not know @p vm.
    std::optional<MemberState> sees(const VmId &vm) const
    {
        for (const Member &member : membership->members()) {
            if (member.vm == vm)
                return member.state;
        }
        return std::nullopt;
    }

    std::unique_ptr<PeerLinks> links;
    std::unique_ptr<Membership> membership;

private:
    void listen()
    {
        links = std::make_unique<PeerLinks>(m_timers, m_self.vm, QByteArray("fleet secret"));
        m_self.peerPort = links->listenOn(QHostAddress::LocalHost, m_self.peerPort).value();
    }

    TimerService &m_timers;
    FakeVmList &m_platform;
    const MembershipSettings m_settings;
    Member m_self;
};

} // namespace cranberry::test
