#include "ctl/RequestTrace.h"

#include "admission/Urgency.h"

#include <QMap>
#include <QSet>

#include <algorithm>

namespace cranberry::ctl {

namespace {

/// The targets, log files and time span that the lines of a request name.
struct RequestScope {
    QSet<QString> targets;
    QSet<QString> files;
    QString firstTime;
    QString lastTime;
};

QString field(const LogLine &line, const char *key)
{
    return line.fields.value(QLatin1String(key));
}

RequestScope scopeOf(const QList<LogLine> &requestLines)
{
    RequestScope scope;
    scope.firstTime = requestLines.first().time;
    scope.lastTime = requestLines.last().time;
    for (const LogLine &line : requestLines) {
        scope.files.insert(line.file);
        for (const char *key : {"target", "source", "destination"}) {
            if (!field(line, key).isEmpty())
                scope.targets.insert(field(line, key));
        }
    }
    return scope;
}

/// True for a line without the id of the request that helps to explain it: an event of one of its
/// targets while it ran, or a platform or evacuation event up to its end, in the log of one of its
/// daemons.
bool isRelevant(const LogLine &line, const RequestScope &scope)
{
    if (line.time > scope.lastTime || !scope.files.contains(line.file))
        return false;
    if (line.name.startsWith(QLatin1String("target.")))
        return scope.targets.contains(field(line, "target")) && line.time >= scope.firstTime;
    return line.name.startsWith(QLatin1String("platform."))
        || line.name.startsWith(QLatin1String("evacuation."));
}

const LogLine *lastEvent(const QList<LogLine> &lines, const char *name)
{
    const auto found = std::find_if(lines.crbegin(), lines.crend(), [&](const LogLine &line) {
        return line.name == QLatin1String(name);
    });
    return found == lines.crend() ? nullptr : &*found;
}

int countEvents(const QList<LogLine> &lines, const char *name)
{
    return int(std::count_if(lines.cbegin(), lines.cend(), [&](const LogLine &line) {
        return line.name == QLatin1String(name);
    }));
}

QString explainLostStream(const RequestTrace &trace)
{
    const LogLine *lost = lastEvent(trace.lines, "stream.lost");
    if (!lost)
        return QStringLiteral("The stream was cut off; the log gives no reason.");
    QString cause =
        QStringLiteral("The stream was lost after event %1 at target %2: %3.")
            .arg(field(*lost, "events"), field(*lost, "target"), field(*lost, "reason"));
    if (const LogLine *leaving = lastEvent(trace.lines, "target.leaving"))
        cause += QStringLiteral(" The target was known to be leaving since %1 (%2).")
                     .arg(leaving->time, field(*leaving, "reason"));
    if (const LogLine *move = lastEvent(trace.lines, "move.ended"))
        cause += QStringLiteral(" The last of %1 moves ended as %2.")
                     .arg(countEvents(trace.lines, "move.begun"))
                     .arg(field(*move, "outcome"));
    return cause;
}

QString explainFailedSend(const RequestTrace &trace)
{
    const LogLine *send = lastEvent(trace.lines, "relay.send_ended");
    if (!send)
        return QStringLiteral("No send ended.");
    QString cause = QStringLiteral("The last of %1 sends, to target %2, ended as %3")
                        .arg(countEvents(trace.lines, "relay.sent"))
                        .arg(field(*send, "target"), field(*send, "result"));
    if (!field(*send, "reason").isEmpty())
        cause += QStringLiteral(": %1").arg(field(*send, "reason"));
    return cause + u'.';
}

/// Lists the data centres that were under evacuation at the daemon when the request ended, each
/// with the start time.
QString explainEvacuations(const RequestTrace &trace)
{
    QMap<QString, QString> since;
    for (const LogLine &line : trace.lines) {
        if (line.name == QLatin1String("evacuation.in_force"))
            since.insert(field(line, "data_centre"), line.time);
        else if (line.name == QLatin1String("evacuation.ended"))
            since.remove(field(line, "data_centre"));
    }
    QString text;
    for (auto entry = since.cbegin(); entry != since.cend(); ++entry)
        text += QStringLiteral(" Data centre %1 was evacuated since %2.")
                    .arg(entry.key(), entry.value());
    return text;
}

/// The urgency level that @p line names, with what it consists of; see urgencyLevel().
QString levelText(const LogLine &line)
{
    bool isNumber = false;
    const int level = field(line, "level").toInt(&isNumber);
    if (!isNumber)
        return QStringLiteral("unknown level");
    if (level >= OverdueLevel)
        return QStringLiteral("level %1 (it could no longer be on time)").arg(level);
    return QStringLiteral("level %1 (combined priority %2, overuse level %3)")
        .arg(level)
        .arg(level / LevelsPerPriority)
        .arg(level % LevelsPerPriority);
}

/// Explains which estimate of admission control rejected the request, from the "admission.rejected"
/// line @p rejected.
QString explainRejection(const RequestTrace &trace, const LogLine &rejected)
{
    const bool hasWaited = lastEvent(trace.lines, "relay.waiting");
    const bool hasEstimate = field(rejected, "placed_per_s").toDouble() > 0;
    QString cause;
    // The daemon logs a limit of 0 when the time that the request might wait is over.
    if (field(rejected, "limit_ms") == QLatin1String("0"))
        cause = QStringLiteral("It got no room in the time that it might wait.");
    else if (field(rejected, "returns") == QLatin1String("early"))
        cause = QStringLiteral("Rejected as an early return: its caller came back before the time "
                               "that an earlier rejection had named.");
    else
        cause =
            QStringLiteral("Rejected by an estimate %1: expected wait %2 ms, and it might wait "
                           "%3 ms.")
                .arg(hasWaited ? QStringLiteral("while it waited") : QStringLiteral("on arrival"),
                     field(rejected, "expected_ms"), field(rejected, "limit_ms"));
    cause += QStringLiteral(" It had %1; work ahead %2 room seconds, its own room %3.")
                 .arg(levelText(rejected), field(rejected, "ahead"), field(rejected, "work"));
    if (hasEstimate)
        cause += QStringLiteral(" The fleet placed %1 room seconds per second for this level, by "
                                "the rates of this daemon and %2 others, the oldest %3 ms old.")
                     .arg(field(rejected, "placed_per_s"), field(rejected, "heard"),
                          field(rejected, "age_ms"));
    else
        cause += QStringLiteral(" The rate of placements was not known.");
    return cause
        + QStringLiteral(" Its caller was told to retry after %1 ms.")
              .arg(field(rejected, "retry_ms"));
}

/// Explains an "admission.held" line.
QString explainHeld(const LogLine &held)
{
    return QStringLiteral("It was held for others at first although a target had room: %1; its own "
                          "room %2, room that those ahead needed %3.")
        .arg(levelText(held), field(held, "work"), field(held, "ahead"));
}

/// Explains the field "late" of @p ended; empty if the answer was on time.
QString explainLateness(const LogLine &ended)
{
    const QString cause = field(ended, "late");
    if (cause == QLatin1String("answer"))
        return QStringLiteral(" Late: the answer or its first event came after the objective.");
    if (cause == QLatin1String("move_pause"))
        return QStringLiteral(
            " Late: a pause caused by a move exceeded the longest pause of the route.");
    if (cause == QLatin1String("pause"))
        return QStringLiteral(" Late: a pause that no move caused exceeded the longest "
                              "pause of the route.");
    return {};
}

QString explainNoTarget(const RequestTrace &trace)
{
    const LogLine *waiting = lastEvent(trace.lines, "relay.waiting");
    const LogLine *rejected = lastEvent(trace.lines, "admission.rejected");
    QString cause = rejected ? explainRejection(trace, *rejected)
                             : QStringLiteral("No target accepted the request:");
    cause += QStringLiteral(" %1 engines refused room, %2 sends.")
                 .arg(countEvents(trace.lines, "reservation.refused"))
                 .arg(countEvents(trace.lines, "relay.sent"));
    if (waiting)
        cause += QStringLiteral(" The daemon knew %1 targets of its service.")
                     .arg(field(*waiting, "targets"));
    return cause + explainEvacuations(trace);
}

QString explainOutcome(const RequestTrace &trace, const LogLine &ended)
{
    const QString outcome = field(ended, "outcome");
    if (outcome == QLatin1String("answered"))
        return QStringLiteral(
                   "First event after %1 ms, longest pause %2 ms, of which moves caused %3 ms.")
                   .arg(field(ended, "first_ms"), field(ended, "pause_ms"),
                        field(ended, "move_pause_ms"))
            + explainLateness(ended);
    if (outcome == QLatin1String("broken off"))
        return explainLostStream(trace);
    if (outcome == QLatin1String("no_target"))
        return explainNoTarget(trace);
    if (outcome == QLatin1String("caller gone"))
        return QStringLiteral("The caller closed its connection.");
    return explainFailedSend(trace);
}

/// Explains why the request was refused before a target was chosen.
QString explainRefusal(const RequestTrace &trace, const LogLine &refused)
{
    QString cause = QStringLiteral("Refused as %1: %2. Configuration version %3, current: %4.")
                        .arg(field(refused, "kind"), field(refused, "detail"),
                             field(refused, "version"), field(refused, "current"));
    const LogLine *down = lastEvent(trace.lines, "platform.down");
    const LogLine *back = lastEvent(trace.lines, "platform.back");
    if (down && (!back || back->time < down->time))
        cause += QStringLiteral(" The platform's store was away since %1.").arg(down->time);
    return cause;
}

} // namespace

RequestTrace traceRequest(const QString &request, const QList<LogLine> &lines)
{
    RequestTrace trace;
    QList<LogLine> sorted = lines;
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const LogLine &a, const LogLine &b) { return a.time < b.time; });
    const auto isRequestLine = [&](const LogLine &line) {
        return field(line, "request") == request;
    };
    QList<LogLine> requestLines;
    std::copy_if(sorted.cbegin(), sorted.cend(), std::back_inserter(requestLines), isRequestLine);
    if (requestLines.isEmpty())
        return trace;
    const RequestScope scope = scopeOf(requestLines);
    std::copy_if(
        sorted.cbegin(), sorted.cend(), std::back_inserter(trace.lines),
        [&](const LogLine &line) { return isRequestLine(line) || isRelevant(line, scope); });
    if (const LogLine *ended = lastEvent(requestLines, "relay.ended")) {
        trace.verdict.append(
            QStringLiteral("Ended as %1 after %2 ms; has run: %3.")
                .arg(field(*ended, "outcome"), field(*ended, "ms"), field(*ended, "ran")));
        if (const LogLine *held = lastEvent(requestLines, "admission.held"))
            trace.verdict.append(explainHeld(*held));
        trace.verdict.append(explainOutcome(trace, *ended));
    } else if (const LogLine *refused = lastEvent(requestLines, "relay.refused")) {
        trace.verdict.append(explainRefusal(trace, *refused));
    } else {
        trace.verdict.append(
            QStringLiteral("No log line records how the request ended: its daemon stopped, "
                           "or the log of that daemon is missing from the files."));
    }
    return trace;
}

} // namespace cranberry::ctl
