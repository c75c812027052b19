// cranberry-soak: daemons as processes under random faults, held to their promises.
#include "base/EventLog.h"
#include "soak/SoakRun.h"
#include "support/EventLoop.h"

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_uint32(seed, 1, "seed of the faults and requests");
DEFINE_uint32(seeds, 1, "number of seeds to run, from --seed on");
DEFINE_uint32(seconds, 10, "time of each run under faults; 1 to 3600");
DEFINE_uint32(daemons, 3, "daemons; 1 to 100");

namespace {

constexpr int ExitBroken = 1;
constexpr int ExitBadUse = 2;

} // namespace

int main(int argc, char *argv[])
{
    gflags::SetUsageMessage("runs daemons under random faults and checks their promises\n"
                            "  cranberry-soak [--seed N] [--seeds N] [--seconds S] [--daemons N]\n"
                            "Exit codes: 0 all kept, 1 a promise was broken, 2 bad flags.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const bool isUsable =
        FLAGS_seconds >= 1 && FLAGS_seconds <= 3600 && FLAGS_daemons >= 1 && FLAGS_daemons <= 100;
    if (!isUsable) {
        std::fprintf(stderr, "cranberry-soak: --seconds 1 to 3600, --daemons 1 to 100\n");
        return ExitBadUse;
    }
    cranberry::test::ensureApplication();
    int broken = 0;
    for (quint32 seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed) {
        cranberry::soak::SoakOptions options;
        options.seed = seed;
        options.duration = std::chrono::seconds(FLAGS_seconds);
        options.daemons = int(FLAGS_daemons);
        cranberry::soak::SoakRun run(options);
        const cranberry::standin::PromiseChecks &checks = run.run();
        std::printf("seed %u: %d answers, %d whole, %d promises broken\n", seed, checks.answers(),
                    checks.wholeAnswers(), int(checks.broken().size()));
        for (const QString &line : checks.broken())
            std::printf("  %s\n", qPrintable(line));
        std::fflush(stdout);
        broken += int(checks.broken().size());
    }
    return broken > 0 ? ExitBroken : 0;
}
