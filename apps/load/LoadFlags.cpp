#include "load/LoadFlags.h"

#include "http/HttpEndpoint.h"

#include <QFile>

#include <gflags/gflags.h>

DEFINE_string(gateways, "", "entry VMs, http://ADDRESS:PORT, separated by commas; required");
DEFINE_string(targets, "", "stand-in targets to ask for preemptions and runs, as --gateways");
DEFINE_string(keys, "key-w0,key-w1", "a key of each workspace, separated by commas");
DEFINE_int32(large, 2, "how many of the first workspaces are large");
DEFINE_double(large_factor, 4, "requests of a large workspace for one of another");
DEFINE_double(greedy_factor, 1, "the last workspace sends this many times its share");
DEFINE_double(rate, 10, "requests a second over all workspaces");
DEFINE_double(duration_s, 10, "time in which requests arrive, seconds");
DEFINE_double(patience_s, 30, "time for answers after the last arrival, seconds");
DEFINE_string(seeds, "1", "seeds of the arrivals, separated by commas");
DEFINE_string(model, "m1", "model that the requests name");
DEFINE_string(service, "drafts", "service whose policy compare changes");
DEFINE_string(plain_service, "status", "plain service that is called");
DEFINE_int32(max_tokens, 1024, "bound on the answers, tokens");
DEFINE_double(prompt_tokens, 120, "median length of the prompts, tokens");
DEFINE_double(prefix_share, 0.5, "share of prompts with one of the workspace's prefixes");
DEFINE_double(chat_share, 0.2, "share of requests in chat form");
DEFINE_double(plain_share, 0.1, "share of requests that call the plain service");
DEFINE_double(at_most_once_share, 0.1, "share of requests that must run at most once");
DEFINE_int32(deadline_ms, 30000, "deadline of each request, milliseconds; 0 sends none");
DEFINE_int32(stall_ms, 250, "a gap between tokens over this counts as stall time");
DEFINE_string(policies, "round_robin,least_requests,two_choices,forecast",
              "policies that compare runs in turn");
DEFINE_string(operator_token_file, "", "file with the operator's token; compare needs it");
DEFINE_string(json, "", "file to write all figures to");
DEFINE_string(plot, "", "file to write the plot of compare to (SVG)");
DEFINE_string(title, "", "title of the plot");

namespace cranberry::load {

namespace {

constexpr double MostRate = 10'000;
constexpr double MostSeconds = 3600;

Error flagFault(const char *flag, const QString &allowed, const QString &found)
{
    Error error;
    error.kind = ErrorKind::BadRequest;
    error.detail = QStringLiteral("--%1: expected %2, got \"%3\"")
                       .arg(QString::fromLatin1(flag), allowed, found);
    return error;
}

QList<QString> listOf(const std::string &text)
{
    return QString::fromStdString(text).split(QLatin1Char(','), Qt::SkipEmptyParts);
}

Result<QList<HttpEndpoint>> endpointsOf(const char *flag, const std::string &text)
{
    QList<HttpEndpoint> endpoints;
    const QList<QString> urls = listOf(text);
    for (const QString &url : urls) {
        const std::optional<HttpEndpoint> endpoint = parseEndpoint(url);
        if (!endpoint)
            return flagFault(flag, QStringLiteral("http://ADDRESS:PORT"), url);
        endpoints.append(*endpoint);
    }
    return endpoints;
}

Result<QList<quint64>> seedsOf(const std::string &text)
{
    QList<quint64> seeds;
    const QList<QString> parts = listOf(text);
    for (const QString &part : parts) {
        bool isNumber = false;
        seeds.append(part.toULongLong(&isNumber));
        if (!isNumber)
            return flagFault("seeds", QStringLiteral("whole numbers"), part);
    }
    if (seeds.isEmpty())
        return flagFault("seeds", QStringLiteral("whole numbers"), QString());
    return seeds;
}

struct FlagRange {
    const char *flag;
    double value;
    double least;
    double most;
};

Result<void> checkRanges()
{
    const FlagRange ranges[] = {
        {"rate", FLAGS_rate, 0.01, MostRate},
        {"duration_s", FLAGS_duration_s, 0.1, MostSeconds},
        {"patience_s", FLAGS_patience_s, 0, MostSeconds},
        {"large_factor", FLAGS_large_factor, 0.01, 1000},
        {"greedy_factor", FLAGS_greedy_factor, 0.01, 1000},
        {"large", double(FLAGS_large), 0, 10'000},
        {"max_tokens", double(FLAGS_max_tokens), 1, 1'000'000},
        {"prompt_tokens", FLAGS_prompt_tokens, 1, 100'000},
        {"prefix_share", FLAGS_prefix_share, 0, 1},
        {"chat_share", FLAGS_chat_share, 0, 1},
        {"plain_share", FLAGS_plain_share, 0, 1},
        {"at_most_once_share", FLAGS_at_most_once_share, 0, 1},
        {"deadline_ms", double(FLAGS_deadline_ms), 0, MostSeconds * 1000},
        {"stall_ms", double(FLAGS_stall_ms), 1, MostSeconds * 1000},
    };
    for (const FlagRange &range : ranges) {
        if (range.value < range.least || range.value > range.most)
            return flagFault(range.flag, QStringLiteral("%1..%2").arg(range.least).arg(range.most),
                             QString::number(range.value));
    }
    return outcome::success();
}

Result<LoadTargets> readTargets()
{
    LoadTargets targets;
    BOOST_OUTCOME_TRY(gateways, endpointsOf("gateways", FLAGS_gateways));
    if (gateways.isEmpty())
        return flagFault("gateways", QStringLiteral("http://ADDRESS:PORT,..."), QString());
    targets.gateways = gateways;
    BOOST_OUTCOME_TRY(asked, endpointsOf("targets", FLAGS_targets));
    targets.targets = asked;
    return targets;
}

Result<TrafficMix> readMix()
{
    TrafficMix mix;
    const QList<QString> keys = listOf(FLAGS_keys);
    for (const QString &key : keys)
        mix.keys.append(key.toUtf8());
    if (mix.keys.isEmpty())
        return flagFault("keys", QStringLiteral("at least one key"), QString());
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
    command.policies = listOf(FLAGS_policies);
    if (command.policies.isEmpty())
        return flagFault("policies", QStringLiteral("names separated by commas"), QString());
    QFile file(QString::fromStdString(FLAGS_operator_token_file));
    if (file.fileName().isEmpty() || !file.open(QIODevice::ReadOnly))
        return flagFault("operator_token_file", QStringLiteral("a readable file"), file.fileName());
    command.targets.operatorToken = file.readAll().trimmed();
    return outcome::success();
}

} // namespace

void setUsage()
{
    gflags::SetUsageMessage(
        "sends an open loop of requests to a running fleet, checks every answer and measures\n"
        "  cranberry-load --gateways URL,... [flags]          one run a seed\n"
        "  cranberry-load compare --gateways URL,... --operator_token_file FILE [flags]\n"
        "                                                     policies in turn on the same "
        "arrivals\n"
        "Answers are checked against the stand-in engine's texts. It starts no processes.\n"
        "Exit codes: 0 measured; 1 an answer was crossed, wrong, lost or doubled tokens, or ran\n"
        "twice; 2 bad flags or a fleet that does not take a policy.");
}

Result<LoadCommand> readCommand(const QList<QString> &words)
{
    LoadCommand command;
    BOOST_OUTCOME_TRY(checkRanges());
    BOOST_OUTCOME_TRY(targets, readTargets());
    command.targets = targets;
    BOOST_OUTCOME_TRY(mix, readMix());
    command.mix = mix;
    BOOST_OUTCOME_TRY(seeds, seedsOf(FLAGS_seeds));
    command.seeds = seeds;
    command.limits.stallThreshold = Milliseconds(FLAGS_stall_ms);
    command.limits.patience = Milliseconds(qint64(FLAGS_patience_s * 1000));
    command.service = QString::fromStdString(FLAGS_service);
    command.jsonFile = QString::fromStdString(FLAGS_json);
    command.plotFile = QString::fromStdString(FLAGS_plot);
    command.title = QString::fromStdString(FLAGS_title);
    if (words.isEmpty())
        return command;
    if (words != QList<QString>{QStringLiteral("compare")}) {
        Error error;
        error.kind = ErrorKind::BadRequest;
        error.detail = QStringLiteral("expected no word or \"compare\", got \"%1\"")
                           .arg(words.join(QLatin1Char(' ')));
        return error;
    }
    BOOST_OUTCOME_TRY(readComparison(command));
    return command;
}

} // namespace cranberry::load
