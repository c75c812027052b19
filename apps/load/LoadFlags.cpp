#include "load/LoadFlags.h"

#include "http/HttpEndpoint.h"

#include <QFile>

#include <gflags/gflags.h>

DEFINE_string(gateways, "", "entry VMs, http://ADDRESS:PORT, separated by commas; required");
DEFINE_string(targets, "",
              "stand-in targets to query for preemptions and runs, in the form of --gateways");
DEFINE_string(keys, "key-w0,key-w1", "one API key per workspace, separated by commas");
DEFINE_int32(large, 2, "number of large workspaces; these come first in --keys");
DEFINE_double(large_factor, 4,
              "request rate of a large workspace relative to each other workspace");
DEFINE_double(greedy_factor, 1, "factor by which the last workspace exceeds its share of requests");
DEFINE_double(rate, 10, "requests per second over all workspaces");
DEFINE_double(duration_s, 10, "duration of the arrivals, seconds");
DEFINE_double(patience_s, 30, "timeout for answers after the end of the arrivals, seconds");
DEFINE_string(seeds, "1", "seeds of the arrivals, separated by commas");
DEFINE_string(model, "m1", "model named in the requests");
DEFINE_string(service, "drafts", "service whose placement policy compare changes");
DEFINE_string(plain_service, "status", "plain service to call");
DEFINE_int32(max_tokens, 1024, "maximum length of an answer, tokens");
DEFINE_double(prompt_tokens, 120, "median length of the prompts, tokens");
DEFINE_double(prefix_share, 0.5,
              "share of prompts that begin with a shared prefix of the workspace");
DEFINE_double(chat_share, 0.2, "share of requests to the chat API");
DEFINE_double(plain_share, 0.1, "share of requests that call the plain service");
DEFINE_double(at_most_once_share, 0.1, "share of requests with at-most-once semantics");
DEFINE_int32(deadline_ms, 30000, "deadline of each request, milliseconds; 0 for no deadline");
DEFINE_int32(stall_ms, 250, "gap between tokens above which it counts as stall time, milliseconds");
DEFINE_string(policies, "round_robin,least_requests,two_choices,forecast",
              "policies that compare measures in turn, separated by commas");
DEFINE_string(operator_token_file, "", "file with the operator token; required by compare");
DEFINE_string(json, "", "file to write all measurements to (JSON)");
DEFINE_string(plot, "", "file to write the plot of compare to (SVG)");
DEFINE_string(title, "", "title of the plot");

namespace cranberry::load {

namespace {

constexpr double MaxRatePerSecond = 10'000;
constexpr double MaxSeconds = 3600;

Error flagError(const char *flag, const QString &allowed, const QString &found)
{
    Error error;
    error.kind = ErrorKind::BadRequest;
    error.detail = QStringLiteral("--%1: expected %2, got \"%3\"")
                       .arg(QString::fromLatin1(flag), allowed, found);
    return error;
}

QList<QString> splitList(const std::string &text)
{
    return QString::fromStdString(text).split(QLatin1Char(','), Qt::SkipEmptyParts);
}

Result<QList<HttpEndpoint>> parseEndpoints(const char *flag, const std::string &text)
{
    QList<HttpEndpoint> endpoints;
    const QList<QString> urls = splitList(text);
    for (const QString &url : urls) {
        const std::optional<HttpEndpoint> endpoint = parseEndpoint(url);
        if (!endpoint)
            return flagError(flag, QStringLiteral("http://ADDRESS:PORT"), url);
        endpoints.append(*endpoint);
    }
    return endpoints;
}

Result<QList<quint64>> parseSeeds(const std::string &text)
{
    QList<quint64> seeds;
    const QList<QString> parts = splitList(text);
    for (const QString &part : parts) {
        bool isNumber = false;
        seeds.append(part.toULongLong(&isNumber));
        if (!isNumber)
            return flagError("seeds", QStringLiteral("whole numbers"), part);
    }
    if (seeds.isEmpty())
        return flagError("seeds", QStringLiteral("whole numbers"), QString());
    return seeds;
}

struct FlagRange {
    const char *flag;
    double value;
    double min;
    double max;
};

Result<void> checkRanges()
{
    const FlagRange ranges[] = {
        {"rate", FLAGS_rate, 0.01, MaxRatePerSecond},
        {"duration_s", FLAGS_duration_s, 0.1, MaxSeconds},
        {"patience_s", FLAGS_patience_s, 0, MaxSeconds},
        {"large_factor", FLAGS_large_factor, 0.01, 1000},
        {"greedy_factor", FLAGS_greedy_factor, 0.01, 1000},
        {"large", double(FLAGS_large), 0, 10'000},
        {"max_tokens", double(FLAGS_max_tokens), 1, 1'000'000},
        {"prompt_tokens", FLAGS_prompt_tokens, 1, 100'000},
        {"prefix_share", FLAGS_prefix_share, 0, 1},
        {"chat_share", FLAGS_chat_share, 0, 1},
        {"plain_share", FLAGS_plain_share, 0, 1},
        {"at_most_once_share", FLAGS_at_most_once_share, 0, 1},
        {"deadline_ms", double(FLAGS_deadline_ms), 0, MaxSeconds * 1000},
        {"stall_ms", double(FLAGS_stall_ms), 1, MaxSeconds * 1000},
    };
    for (const FlagRange &range : ranges) {
        if (range.value < range.min || range.value > range.max)
            return flagError(range.flag, QStringLiteral("%1..%2").arg(range.min).arg(range.max),
                             QString::number(range.value));
    }
    return outcome::success();
}

Result<LoadTargets> readTargets()
{
    LoadTargets targets;
    BOOST_OUTCOME_TRY(gateways, parseEndpoints("gateways", FLAGS_gateways));
    if (gateways.isEmpty())
        return flagError("gateways", QStringLiteral("http://ADDRESS:PORT,..."), QString());
    targets.gateways = gateways;
    BOOST_OUTCOME_TRY(standinTargets, parseEndpoints("targets", FLAGS_targets));
    targets.targets = standinTargets;
    return targets;
}

Result<TrafficMix> readMix()
{
    TrafficMix mix;
    const QList<QString> keys = splitList(FLAGS_keys);
    for (const QString &key : keys)
        mix.keys.append(key.toUtf8());
    if (mix.keys.isEmpty())
        return flagError("keys", QStringLiteral("at least one key"), QString());
    mix.largeWorkspaces = FLAGS_large;
    mix.largeFactor = FLAGS_large_factor;
    mix.greedyFactor = FLAGS_greedy_factor;
    mix.rate = FLAGS_rate;
    mix.duration = Milliseconds(qint64(FLAGS_duration_s * 1000));
    mix.model = QString::fromStdString(FLAGS_model);
    mix.maxTokens = FLAGS_max_tokens;
    mix.promptMedianTokens = FLAGS_prompt_tokens;
    mix.sharedPrefixShare = FLAGS_prefix_share;
    mix.chatShare = FLAGS_chat_share;
    mix.plainShare = FLAGS_plain_share;
    mix.plainService = QString::fromStdString(FLAGS_plain_service);
    mix.atMostOnceShare = FLAGS_at_most_once_share;
    mix.deadline = Milliseconds(FLAGS_deadline_ms);
    return mix;
}

Result<void> readComparison(LoadCommand &command)
{
    command.policies = splitList(FLAGS_policies);
    if (command.policies.isEmpty())
        return flagError("policies", QStringLiteral("names separated by commas"), QString());
    QFile file(QString::fromStdString(FLAGS_operator_token_file));
    if (file.fileName().isEmpty() || !file.open(QIODevice::ReadOnly))
        return flagError("operator_token_file", QStringLiteral("a readable file"), file.fileName());
    command.targets.operatorToken = file.readAll().trimmed();
    return outcome::success();
}

} // namespace

void registerUsage()
{
    gflags::SetUsageMessage(
        "sends an open-loop load to a running fleet, checks every answer and measures latencies\n"
        "  cranberry-load --gateways URL,... [flags]          one run per seed\n"
        "  cranberry-load compare --gateways URL,... --operator_token_file FILE [flags]\n"
        "                                                     each policy in turn on the "
        "same arrivals\n"
        "Answers are checked against the texts of the stand-in engine. No process is started.\n"
        "Exit codes: 0 success; 1 an answer was mixed up with another, wrong, or had lost or\n"
        "duplicate tokens, or a request ran twice or ran although it was reported as not run;\n"
        "2 invalid flags, a file that cannot be written, or a policy change that failed.");
}

Result<LoadCommand> readCommand(const QList<QString> &arguments)
{
    LoadCommand command;
    BOOST_OUTCOME_TRY(checkRanges());
    BOOST_OUTCOME_TRY(targets, readTargets());
    command.targets = targets;
    BOOST_OUTCOME_TRY(mix, readMix());
    command.mix = mix;
    BOOST_OUTCOME_TRY(seeds, parseSeeds(FLAGS_seeds));
    command.seeds = seeds;
    command.limits.stallThreshold = Milliseconds(FLAGS_stall_ms);
    command.limits.answerTimeout = Milliseconds(qint64(FLAGS_patience_s * 1000));
    command.service = QString::fromStdString(FLAGS_service);
    command.jsonFile = QString::fromStdString(FLAGS_json);
    command.plotFile = QString::fromStdString(FLAGS_plot);
    command.title = QString::fromStdString(FLAGS_title);
    if (arguments.isEmpty())
        return command;
    if (arguments != QList<QString>{QStringLiteral("compare")}) {
        Error error;
        error.kind = ErrorKind::BadRequest;
        error.detail = QStringLiteral("expected no argument or \"compare\", got \"%1\"")
                           .arg(arguments.join(QLatin1Char(' ')));
        return error;
    }
    BOOST_OUTCOME_TRY(readComparison(command));
    return command;
}

} // namespace cranberry::load
