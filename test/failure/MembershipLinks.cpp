// Tests the membership of several daemons over real links: death, hang, restart, draining and an
// outage of the platform.
#define BOOST_TEST_MODULE MembershipLinks
#include <boost/test/unit_test.hpp>

#include "base/QtTimerService.h"
#include "support/EventLoop.h"
#include "support/PeerDaemon.h"

#include <vector>

using namespace cranberry;
using test::numberedVm;
using test::PeerDaemon;

namespace {

constexpr int DaemonCount = 6;

struct Fixture {
    Fixture()
    {
        test::ensureApplication();
        for (int i = 0; i < DaemonCount; ++i)
            daemons.push_back(std::make_unique<PeerDaemon>(timers, platform, i));
        for (const std::unique_ptr<PeerDaemon> &daemon : daemons)
            daemon->start();
        BOOST_REQUIRE(test::waitFor([this] { return isMembershipComplete(); }));
    }

    /// Whether every daemon has received a message from every other one itself.
    bool isMembershipComplete() const
    {
        for (const std::unique_ptr<PeerDaemon> &daemon : daemons) {
            const QList<Member> members = daemon->membership->members();
            if (members.size() != DaemonCount)
                return false;
            for (const Member &member : members) {
                if (member.incarnation == Incarnation() || member.state != MemberState::Alive)
                    return false;
            }
        }
        return true;
    }

    bool allSee(const VmId &vm, MemberState state) const
    {
        for (const std::unique_ptr<PeerDaemon> &daemon : daemons) {
            if (daemon->membership && daemon->vm() != vm && daemon->sees(vm) != state)
                return false;
        }
        return true;
    }

    QtTimerService timers;
    test::FakeVmList platform{timers};
    std::vector<std::unique_ptr<PeerDaemon>> daemons;
};

} // namespace

BOOST_FIXTURE_TEST_CASE(KilledDaemonIsFoundDeadAndComesBack, Fixture)
{
    // Guards against requests to a target's home daemon that has ended. The process is killed, and
    // the others find its port closed; later the VM restarts under its old name.
    const VmId failedVm = numberedVm(2);
    daemons[2]->kill();
    BOOST_REQUIRE(test::waitFor([&] { return allSee(failedVm, MemberState::Dead); }));
    daemons[2]->start();
    BOOST_TEST(test::waitFor([&] { return allSee(failedVm, MemberState::Alive); }));
    BOOST_TEST(test::waitFor([this] { return isMembershipComplete(); }));
}

BOOST_FIXTURE_TEST_CASE(HangingDaemonIsFoundDead, Fixture)
{
    // Its links stay open and accept what is sent; only its heartbeats are missing.
    const VmId failedVm = numberedVm(4);
    daemons[4]->hang();
    BOOST_TEST(test::waitFor([&] { return allSee(failedVm, MemberState::Dead); }));
}

BOOST_FIXTURE_TEST_CASE(LeavingDaemonIsOutOfTheLiveMembersEverywhere, Fixture)
{
    const VmId leaving = numberedVm(1);
    VmId notifiedVm;
    daemons[5]->membership->onChange([&](const Member &member) {
        if (member.state == MemberState::Leaving)
            notifiedVm = member.vm;
    });
    daemons[1]->membership->setLeaving();
    BOOST_REQUIRE(test::waitFor([&] { return allSee(leaving, MemberState::Leaving); }));
    BOOST_TEST((notifiedVm == leaving));
    for (const Member &member : daemons[5]->membership->liveMembers())
        BOOST_TEST((member.vm != leaving));
    BOOST_TEST(daemons[5]->membership->liveMembers().size() == DaemonCount - 1);
}

BOOST_FIXTURE_TEST_CASE(VersionsNewsAndCreditsArrive, Fixture)
{
    std::map<VmId, ConfigurationVersion> versions;
    std::map<VmId, int> broadcasts;
    int credits = 0;
    for (const std::unique_ptr<PeerDaemon> &daemon : daemons) {
        const VmId vm = daemon->vm();
        daemon->membership->onNewerVersion(
            [&versions, vm](const VmId &, ConfigurationVersion v) { versions[vm] = v; });
        daemon->membership->onBroadcast(
            PeerMessageKind::Quarantine,
            [&broadcasts, vm](const VmId &origin, const QCborMap &body) {
                broadcasts[vm] +=
                    origin == numberedVm(3) && body.value(1).toString() == QStringLiteral("print");
            });
    }
    daemons[0]->membership->onCredits(
        [&](const VmId &, const QCborMap &body) { credits += int(body.value(1).toInteger()); });
    daemons[3]->membership->setCreditsProvider([](const VmId &) { return QCborMap{{1, 5}}; });
    daemons[3]->membership->setConfigurationVersion(ConfigurationVersion(8));
    BOOST_TEST(daemons[3]->membership->broadcast(PeerMessageKind::Quarantine,
                                                 {{1, QStringLiteral("print")}}));
    BOOST_TEST(!daemons[3]->membership->broadcast(PeerMessageKind::Quarantine,
                                                  {{1, QByteArray(500, 'x')}}));
    BOOST_REQUIRE(test::waitFor([&] {
        return broadcasts.size() == DaemonCount - 1 && versions.size() == DaemonCount - 1
            && credits > 0;
    }));
    for (const auto &[vm, count] : broadcasts)
        BOOST_TEST(count == 1);
    for (const auto &[vm, version] : versions)
        BOOST_TEST((version == ConfigurationVersion(8)));
    const auto reported = [&] {
        for (const Member &member : daemons[0]->membership->members()) {
            if (member.vm == numberedVm(3))
                return member.configurationVersion == ConfigurationVersion(8);
        }
        return false;
    };
    BOOST_TEST(test::waitFor(reported));
}

BOOST_FIXTURE_TEST_CASE(PlatformOutageChangesNothingAndIsNotPolled, Fixture)
{
    platform.down = true;
    const int readsBefore = platform.reads;
    daemons[0]->kill();
    BOOST_REQUIRE(test::waitFor([&] { return allSee(numberedVm(0), MemberState::Dead); }));
    // At most one read per daemon was due in this short time.
    BOOST_TEST(platform.reads - readsBefore <= DaemonCount);
    for (int i = 1; i < DaemonCount; ++i)
        BOOST_TEST((allSee(numberedVm(i), MemberState::Alive)));
}
