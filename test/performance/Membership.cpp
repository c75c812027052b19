// Measures membership over real loopback links in one process: bytes, processor time, time to
// find a dead member, false suspicions. Usage: bench-Membership MEMBERS SECONDS TRIALS
// [HEADER_BYTES] HEADER_BYTES is what the pace counts for the headers of a message; 8 leaves out IP
// and TCP.
#include "base/EventLog.h"
#include "base/QtTimerService.h"
#include "support/PeerDaemon.h"
#include "support/ProcessUsage.h"

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QTimer>

#include <algorithm>
#include <cstdio>
#include <random>
#include <vector>

using namespace cranberry;
using test::loadAverage;
using test::PeerDaemon;
using test::processorSeconds;
using test::residentKilobytes;

namespace {

constexpr int DefaultMembers = 9;
constexpr int DefaultSeconds = 120;
constexpr int DefaultTrials = 10;
constexpr Milliseconds Settling{20'000};
constexpr Milliseconds TrialLimit{60'000};
/// IP and TCP headers with timestamps of a segment and of its acknowledgement.
constexpr int SegmentBytes = 2 * 52;

void runFor(Milliseconds time)
{
    QEventLoop loop;
    QTimer::singleShot(time, &loop, &QEventLoop::quit);
    loop.exec();
}

class Fleet
{
public:
    Fleet(int count, const MembershipSettings &settings)
    {
        for (int i = 0; i < count; ++i)
            daemons.push_back(std::make_unique<PeerDaemon>(m_timers, m_platform, i, settings));
        for (int i = 0; i < count; ++i)
            start(i);
    }

    void start(int i)
    {
        daemons[size_t(i)]->start();
        daemons[size_t(i)]->membership->onChange([this](const Member &member) {
            suspicions += member.state == MemberState::Suspect;
            deaths += member.state == MemberState::Dead && Incarnation() < member.incarnation;
        });
    }

    bool allSee(int target, MemberState state) const
    {
        for (size_t i = 0; i < daemons.size(); ++i) {
            if (int(i) != target && daemons[i]->sees(daemons[size_t(target)]->vm()) != state)
                return false;
        }
        return true;
    }

    /// Milliseconds until all see @p state, or -1.
    double timeUntilAllSee(int target, MemberState state)
    {
        QElapsedTimer elapsed;
        elapsed.start();
        QEventLoop loop;
        QTimer poll;
        QObject::connect(&poll, &QTimer::timeout, &loop, [&] {
            if (allSee(target, state) || elapsed.elapsed() > TrialLimit.count())
                loop.quit();
        });
        // A look compares all tables: less often the more there are.
        constexpr int LeastPollMilliseconds = 20;
        constexpr int DaemonsPerMillisecond = 8;
        poll.start(LeastPollMilliseconds + int(daemons.size()) / DaemonsPerMillisecond);
        loop.exec();
        return allSee(target, state) ? double(elapsed.elapsed()) : -1.0;
    }

    PeerTraffic traffic() const
    {
        PeerTraffic sum;
        for (const std::unique_ptr<PeerDaemon> &daemon : daemons) {
            const PeerTraffic &one = daemon->links->traffic();
            sum.bytesIn += one.bytesIn;
            sum.bytesOut += one.bytesOut;
            sum.chunksIn += one.chunksIn;
            sum.chunksOut += one.chunksOut;
        }
        return sum;
    }

    int reads() const { return m_platform.reads; }

    std::vector<std::unique_ptr<PeerDaemon>> daemons;
    qint64 suspicions = 0;
    qint64 deaths = 0;

private:
    QtTimerService m_timers;
    test::FakeVmList m_platform{m_timers};
};

void measureIdle(Fleet &fleet, int members, int seconds)
{
    const PeerTraffic before = fleet.traffic();
    const double processorBefore = processorSeconds();
    const int readsBefore = fleet.reads();
    fleet.suspicions = 0;
    fleet.deaths = 0;
    runFor(std::chrono::seconds(seconds));
    const PeerTraffic after = fleet.traffic();
    const double perDaemonSecond = double(members) * seconds;
    const double bytes = double(after.bytesIn - before.bytesIn + after.bytesOut - before.bytesOut);
    const double chunks =
        double(after.chunksIn - before.chunksIn + after.chunksOut - before.chunksOut);
    std::printf("members=%d seconds=%d load=%.1f\n", members, seconds, loadAverage());
    std::printf("bytes_per_second_both_ways=%.0f with_tcp_ip_estimate=%.0f messages=%.2f\n",
                bytes / perDaemonSecond, (bytes + chunks * SegmentBytes) / perDaemonSecond,
                chunks / perDaemonSecond);
    std::printf("core_percent_per_daemon=%.3f resident_kb_per_daemon=%.0f\n",
                100 * (processorSeconds() - processorBefore) / perDaemonSecond,
                residentKilobytes() / members);
    std::printf("false_suspicions=%lld false_deaths=%lld platform_reads=%d\n",
                static_cast<long long>(fleet.suspicions), static_cast<long long>(fleet.deaths),
                fleet.reads() - readsBefore);
    std::fflush(stdout);
}

void measureDetection(Fleet &fleet, int trials, bool hang)
{
    std::mt19937 random(1);
    std::vector<double> times;
    int failures = 0;
    for (int trial = 0; trial < trials; ++trial) {
        const int target = int(random() % fleet.daemons.size());
        if (hang)
            fleet.daemons[size_t(target)]->hang();
        else
            fleet.daemons[size_t(target)]->kill();
        const double time = fleet.timeUntilAllSee(target, MemberState::Dead);
        fleet.start(target);
        const double back = fleet.timeUntilAllSee(target, MemberState::Alive);
        failures += time < 0 || back < 0;
        times.push_back(time);
        constexpr Milliseconds Pause{3000};
        runFor(Pause);
    }
    std::sort(times.begin(), times.end());
    std::printf("%s: trials=%d failed=%d until_all_know_p50_ms=%.0f max_ms=%.0f\n",
                hang ? "hang" : "kill", trials, failures, times[times.size() / 2], times.back());
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    QCoreApplication application(argc, argv);
    const auto argument = [&](int index, int fallback) {
        return argc > index ? std::atoi(argv[index]) : fallback;
    };
    const int members = argument(1, DefaultMembers);
    const int seconds = argument(2, DefaultSeconds);
    const int trials = argument(3, DefaultTrials);
    setLogLevel(LogLevel::Error);
    MembershipSettings settings;
    settings.headerBytes = argument(4, settings.headerBytes);
    Fleet fleet(members, settings);
    runFor(Settling);
    measureIdle(fleet, members, seconds);
    measureDetection(fleet, trials, true);
    measureDetection(fleet, trials, false);
    return 0;
}
