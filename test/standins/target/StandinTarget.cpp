// The stand-in target: a model engine, or with --plain a plain service.
#include "base/QtTimerService.h"
#include "standins/target/TargetServer.h"

#include <QCoreApplication>

#include <gflags/gflags.h>

#include <cstdio>

DEFINE_int32(port, 0, "port to listen on, on the local host; 0 takes a free one");
DEFINE_bool(plain, false, "be a plain service and not a model engine");
DEFINE_bool(check_fencing, true, "refuse orders with an old fencing number");
DEFINE_int32(report_lag_ms, 100, "age of the load reports, milliseconds");
DEFINE_int32(cache_event_lag_ms, 500, "delay of the cache events, milliseconds");
DEFINE_int32(plain_ms, 20, "time that a plain call takes, milliseconds");
DEFINE_int32(queue_limit, 1024, "requests that may wait");
DEFINE_int32(capacity_tokens, 8192, "tokens that the memory holds");
DEFINE_int32(max_batch, 64, "streams that may run at once");
DEFINE_double(step_base_ms, 6.0, "duration of an empty step, milliseconds");
DEFINE_double(step_per_stream_ms, 0.15, "added to a step by each decoding stream, milliseconds");
DEFINE_double(step_per_prefill_token_ms, 0.04, "added to a step by each prompt token");
DEFINE_int32(prefill_chunk, 512, "prompt tokens done in one step");
DEFINE_int32(cache_tokens, 4096, "tokens that the prefix cache holds");
DEFINE_uint64(seed, 1, "seed of the answer lengths; give all engines the same");
DEFINE_double(length_median, 100, "median of the answer lengths, tokens");
DEFINE_double(length_sigma, 1.0, "spread of the logarithm of the answer lengths");

namespace {

cranberry::test::TargetSettings settingsFromFlags()
{
    cranberry::test::TargetSettings settings;
    settings.plain = FLAGS_plain;
    settings.checkFencing = FLAGS_check_fencing;
    settings.reportLagMs = FLAGS_report_lag_ms;
    settings.cacheEventLagMs = FLAGS_cache_event_lag_ms;
    settings.plainMs = FLAGS_plain_ms;
    settings.queueLimit = FLAGS_queue_limit;
    settings.engine.capacityTokens = FLAGS_capacity_tokens;
    settings.engine.maxBatch = FLAGS_max_batch;
    settings.engine.stepBaseMs = FLAGS_step_base_ms;
    settings.engine.stepPerStreamMs = FLAGS_step_per_stream_ms;
    settings.engine.stepPerPrefillTokenMs = FLAGS_step_per_prefill_token_ms;
    settings.engine.prefillChunk = FLAGS_prefill_chunk;
    settings.engine.cacheTokens = FLAGS_cache_tokens;
    settings.lengths = {FLAGS_seed, FLAGS_length_median, FLAGS_length_sigma};
    return settings;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("stand-in target for tests; prints \"ready port=N\"");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    QCoreApplication application(argc, argv);
    cranberry::QtTimerService timers;
    cranberry::test::TargetServer server(timers, settingsFromFlags());
    const auto port = server.listen(quint16(FLAGS_port));
    if (!port) {
        std::fprintf(stderr, "%s\n", qPrintable(port.error().detail));
        return 2;
    }
    std::printf("ready port=%d\n", int(port.value()));
    std::fflush(stdout);
    return QCoreApplication::exec();
}
