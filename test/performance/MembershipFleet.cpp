// Measures membership at fleet size, spread over processes so that no event loop is the limit.
// Usage: bench-MembershipFleet MEMBERS PROCESSES SECONDS TRIALS
#include "base/EventLog.h"
#include "base/QtTimerService.h"
#include "support/PeerDaemon.h"
#include "support/ProcessUsage.h"

#include <QCoreApplication>
#include <QEventLoop>
#include <QTimer>

#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <vector>

using namespace cranberry;
using test::PeerDaemon;
using test::processorSeconds;

namespace {

constexpr Milliseconds Settling{40'000};
constexpr Milliseconds TrialLength{15'000};
constexpr Milliseconds Poll{50};
/// IP and TCP headers with timestamps of a segment and of its acknowledgement.
constexpr int SegmentBytes = 2 * 52;

struct Plan {
    int members = 0;
    int processes = 0;
    int seconds = 0;
    int trials = 0;
};

/// What one process tells the first, as plain numbers in a pipe.
struct Report {
    double bytes = 0;
    double chunks = 0;
    double processorSeconds = 0;
    double suspicions = 0;
    double deaths = 0;
    double residentKilobytes = 0;
    /// Of each trial until all of this process know; -1 if not in time.
    std::array<double, 32> milliseconds{};
};

void runFor(Milliseconds time)
{
    QEventLoop loop;
    QTimer::singleShot(time, &loop, &QEventLoop::quit);
    loop.exec();
}

void runUntil(MonotonicTime time)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(time - MonotonicTime::clock::now());
    runFor(std::max(left, Milliseconds(0)));
}

/// The daemons of one process; member i lives in process i modulo their number.
class Share
{
public:
    Share(const Plan &plan, int index)
        : m_plan(plan)
        , m_index(index)
    {
        for (int i = index; i < plan.members; i += plan.processes)
            m_daemons.push_back(std::make_unique<PeerDaemon>(m_timers, m_platform, i));
    }

    std::vector<quint16> ports() const
    {
        std::vector<quint16> ports;
        for (const ListedVm &vm : m_platform.vms)
            ports.push_back(vm.peerPort);
        return ports;
    }

    /// @p ports is of all members in their order.
    void start(const std::vector<quint16> &ports)
    {
        m_platform.vms.clear();
        for (int i = 0; i < m_plan.members; ++i) {
            ListedVm vm;
            vm.vm = test::numberedVm(i).text();
            vm.dataCentre = QStringLiteral("dc");
            vm.address = QStringLiteral("127.0.0.1");
            vm.peerPort = ports[size_t(i)];
            m_platform.vms.append(vm);
        }
        for (const std::unique_ptr<PeerDaemon> &daemon : m_daemons) {
            daemon->start();
            daemon->membership->onChange([this](const Member &member) {
                m_report.suspicions += member.state == MemberState::Suspect;
                m_report.deaths +=
                    member.state == MemberState::Dead && Incarnation() < member.incarnation;
            });
        }
    }

    Report run(MonotonicTime start)
    {
        runUntil(start + Settling);
        measureIdle();
        const MonotonicTime trials = start + Settling + std::chrono::seconds(m_plan.seconds);
        for (int trial = 0; trial < m_plan.trials; ++trial) {
            const MonotonicTime begin = trials + (trial + 1) * TrialLength;
            runUntil(begin);
            m_report.milliseconds[size_t(trial)] = hangAndWait(trial, begin);
        }
        runUntil(trials + (m_plan.trials + 2) * TrialLength);
        return m_report;
    }

private:
    void addTraffic(double sign)
    {
        for (const std::unique_ptr<PeerDaemon> &daemon : m_daemons) {
            const PeerTraffic &one = daemon->links->traffic();
            m_report.bytes += sign * double(one.bytesIn + one.bytesOut);
            m_report.chunks += sign * double(one.chunksIn + one.chunksOut);
        }
    }

    void measureIdle()
    {
        addTraffic(-1);
        m_report.processorSeconds = -processorSeconds();
        m_report.suspicions = 0;
        m_report.deaths = 0;
        runFor(std::chrono::seconds(m_plan.seconds));
        addTraffic(1);
        m_report.processorSeconds += processorSeconds();
        m_report.residentKilobytes = test::residentKilobytes();
        m_idleSuspicions = m_report.suspicions;
        m_idleDeaths = m_report.deaths;
    }

    /// Member number @p trial stops talking; its links stay open.
    double hangAndWait(int trial, MonotonicTime begin)
    {
        if (trial % m_plan.processes == m_index)
            m_daemons[size_t(trial / m_plan.processes)]->hang();
        const VmId target = test::numberedVm(trial);
        const auto allKnow = [&] {
            return std::all_of(m_daemons.begin(), m_daemons.end(), [&](const auto &daemon) {
                return !daemon->membership || daemon->sees(target) == MemberState::Dead;
            });
        };
        while (!allKnow() && MonotonicTime::clock::now() < begin + TrialLength)
            runFor(Poll);
        m_report.suspicions = m_idleSuspicions;
        m_report.deaths = m_idleDeaths;
        return allKnow()
            ? std::chrono::duration<double, std::milli>(MonotonicTime::clock::now() - begin).count()
            : -1.0;
    }

    const Plan m_plan;
    const int m_index;
    QtTimerService m_timers;
    test::FakeVmList m_platform{m_timers};
    std::vector<std::unique_ptr<PeerDaemon>> m_daemons;
    Report m_report;
    double m_idleSuspicions = 0;
    double m_idleDeaths = 0;
};

/// Pipes are used only between processes of this benchmark, with whole known sizes.
void writeAll(int descriptor, const void *data, size_t size)
{
    if (write(descriptor, data, size) != ssize_t(size))
        std::perror("write");
}

void readAll(int descriptor, void *data, size_t size)
{
    auto *bytes = static_cast<char *>(data);
    while (size > 0) {
        const ssize_t count = read(descriptor, bytes, size);
        if (count <= 0)
            return;
        bytes += count;
        size -= size_t(count);
    }
}

void runChild(const Plan &plan, int index, int in, int out, int argc, char **argv)
{
    QCoreApplication application(argc, argv);
    setLogLevel(LogLevel::Error);
    Share share(plan, index);
    const std::vector<quint16> own = share.ports();
    writeAll(out, own.data(), own.size() * sizeof(quint16));
    std::vector<quint16> all(size_t(plan.members), 0);
    readAll(in, all.data(), all.size() * sizeof(quint16));
    qint64 start = 0;
    readAll(in, &start, sizeof start);
    share.start(all);
    const Report report = share.run(MonotonicTime(MonotonicTime::duration(start)));
    writeAll(out, &report, sizeof report);
}

void print(const Plan &plan, const std::vector<Report> &reports)
{
    Report sum;
    std::vector<double> times(size_t(plan.trials), 0);
    int failed = 0;
    for (const Report &report : reports) {
        sum.bytes += report.bytes;
        sum.chunks += report.chunks;
        sum.processorSeconds += report.processorSeconds;
        sum.suspicions += report.suspicions;
        sum.deaths += report.deaths;
        sum.residentKilobytes += report.residentKilobytes;
        for (size_t i = 0; i < times.size(); ++i) {
            failed += report.milliseconds[i] < 0;
            times[i] = std::max(times[i], report.milliseconds[i]);
        }
    }
    std::sort(times.begin(), times.end());
    const double daemonSeconds = double(plan.members) * plan.seconds;
    std::printf("members=%d processes=%d seconds=%d load=%.1f\n", plan.members, plan.processes,
                plan.seconds, test::loadAverage());
    std::printf("bytes_per_second_both_ways=%.0f with_tcp_ip_estimate=%.0f messages=%.2f\n",
                sum.bytes / daemonSeconds, (sum.bytes + sum.chunks * SegmentBytes) / daemonSeconds,
                sum.chunks / daemonSeconds);
    std::printf("core_percent_per_daemon=%.3f resident_kb_per_daemon=%.0f\n",
                100 * sum.processorSeconds / daemonSeconds, sum.residentKilobytes / plan.members);
    std::printf("false_suspicions=%.0f false_deaths=%.0f\n", sum.suspicions, sum.deaths);
    std::printf("hang: trials=%d failed=%d until_all_know_p50_ms=%.0f max_ms=%.0f\n", plan.trials,
                failed, times[times.size() / 2], times.back());
}

struct Child {
    int in = -1;
    int out = -1;
};

Child startChild(const Plan &plan, int index, int argc, char **argv)
{
    std::array<int, 2> toChild{};
    std::array<int, 2> fromChild{};
    if (pipe(toChild.data()) != 0 || pipe(fromChild.data()) != 0) {
        std::perror("pipe");
        std::exit(1);
    }
    if (fork() == 0) {
        close(toChild[1]);
        close(fromChild[0]);
        runChild(plan, index, toChild[0], fromChild[1], argc, argv);
        std::exit(0);
    }
    close(toChild[0]);
    close(fromChild[1]);
    return {fromChild[0], toChild[1]};
}

} // namespace

int main(int argc, char **argv)
{
    const auto argument = [&](int index, int fallback) {
        return argc > index ? std::atoi(argv[index]) : fallback;
    };
    constexpr int MostTrials = std::tuple_size_v<decltype(Report::milliseconds)>;
    const Plan plan{argument(1, 90), argument(2, 4), argument(3, 120),
                    std::clamp(argument(4, 5), 1, MostTrials)};
    std::vector<Child> children;
    children.reserve(size_t(plan.processes));
    for (int i = 0; i < plan.processes; ++i)
        children.push_back(startChild(plan, i, argc, argv));
    std::vector<quint16> ports(size_t(plan.members), 0);
    for (int i = 0; i < plan.processes; ++i) {
        for (int j = i; j < plan.members; j += plan.processes)
            readAll(children[size_t(i)].in, &ports[size_t(j)], sizeof(quint16));
    }
    const qint64 start = MonotonicTime::clock::now().time_since_epoch().count();
    for (const Child &child : children) {
        writeAll(child.out, ports.data(), ports.size() * sizeof(quint16));
        writeAll(child.out, &start, sizeof start);
    }
    std::vector<Report> reports(children.size());
    for (size_t i = 0; i < children.size(); ++i)
        readAll(children[i].in, &reports[i], sizeof(Report));
    while (wait(nullptr) > 0) { }
    print(plan, reports);
    return 0;
}
