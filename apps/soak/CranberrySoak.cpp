#include "base/EventLog.h"
#include "soak/ShutdownSoak.h"
#include "soak/SoakRun.h"
#include "support/EventLoop.h"

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_uint32(seed, 1, "seed of the random faults and requests");
DEFINE_uint32(seeds, 1, "number of consecutive seeds to run, starting with --seed");
DEFINE_uint32(seconds, 10, "duration of fault injection in each run, in seconds; 1 to 3600");
DEFINE_uint32(daemons, 3, "number of daemons; 1 to 100");
DEFINE_bool(shutdowns, false,
            "shut daemons down in series and at once instead of all other faults");

namespace {

constexpr int ExitViolation = 1;
constexpr int ExitUsageError = 2;

/// Prints the violations of a run; returns their number.
int report(const QStringList &broken)
{
    for (const QString &line : broken)
        std::printf("  %s\n", qPrintable(line));
    std::fflush(stdout);
    return int(broken.size());
}

int runShutdowns(const cranberry::soak::SoakOptions &options)
{
    cranberry::soak::ShutdownSoak run(options);
    run.run();
    const QStringList broken = run.broken();
    std::printf("seed %u: %d shutdowns, %d changes of grace times, %d requests, %d served, "
                "%d rejected, %d neither read nor run, %d promises broken\n",
                options.seed, run.shutdowns(), run.graceChanges(), run.requests(), run.served(),
                run.rejected(), run.unread(), int(broken.size()));
    return report(broken);
}

} // namespace

int main(int argc, char *argv[])
{
    gflags::SetUsageMessage(
        "runs daemon processes under random faults and checks their guarantees\n"
        "  cranberry-soak [--seed N] [--seeds N] [--seconds S] [--daemons N] [--shutdowns]\n"
        "Exit codes: 0 no violation, 1 a guarantee was violated, 2 invalid flags.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const bool areFlagsValid =
        FLAGS_seconds >= 1 && FLAGS_seconds <= 3600 && FLAGS_daemons >= 1 && FLAGS_daemons <= 100;
    if (!areFlagsValid) {
        std::fprintf(stderr,
                     "cranberry-soak: expected --seconds 1 to 3600 and --daemons 1 to 100\n");
        return ExitUsageError;
    }
    cranberry::test::ensureApplication();
    int violationCount = 0;
    for (quint32 seed = FLAGS_seed; seed < FLAGS_seed + FLAGS_seeds; ++seed) {
        cranberry::soak::SoakOptions options;
        options.seed = seed;
        options.duration = std::chrono::seconds(FLAGS_seconds);
        options.daemons = int(FLAGS_daemons);
        if (FLAGS_shutdowns) {
            violationCount += runShutdowns(options);
            continue;
        }
        cranberry::soak::SoakRun run(options);
        const cranberry::standin::PromiseChecks &checks = run.run();
        const QStringList broken = checks.broken() + run.limits().broken() + run.pauses().broken()
            + run.overlaps().broken() + run.brokenBudgets() + run.brokenCrashBounds()
            + run.competing().broken();
        std::printf("seed %u: %d answers, %d whole, %d targets crashed by %d requests, %d of %d "
                    "competing callers answered, %d rejected, %d generations continued elsewhere, "
                    "%d promises broken\n",
                    seed, checks.answers(), checks.wholeAnswers(), run.crashedTargets(),
                    run.harmfulRequests(), run.competing().answered(), run.competing().callers(),
                    run.competing().rejected(), run.overlaps().continued(), int(broken.size()));
        violationCount += report(broken);
    }
    return violationCount > 0 ? ExitViolation : 0;
}
