#include "ctl/RequestStory.h"

#include <QMap>
#include <QSet>

#include <algorithm>

namespace cranberry::ctl {

namespace {

/// What the lines of the request alone name.
struct Involved {
    QSet<QString> targets;
    QSet<QString> files;
    QString first;
    QString last;
};

QString field(const LogLine &line, const char *key)
{
    return line.fields.value(QLatin1String(key));
}

Involved involvedIn(const QList<LogLine> &own)
{
    Involved involved;
    involved.first = own.first().time;
    involved.last = own.last().time;
    for (const LogLine &line : own) {
        involved.files.insert(line.file);
        for (const char *key : {"target", "source", "destination"}) {
            if (!field(line, key).isEmpty())
                involved.targets.insert(field(line, key));
        }
    }
    return involved;
}

/// Lines without the request's id that explain its own: what became of its targets, and whether
/// its daemon knew the platform's state.
bool explains(const LogLine &line, const Involved &involved)
{
    if (line.time > involved.last || !involved.files.contains(line.file))
        return false;
    if (line.name.startsWith(QLatin1String("target.")))
        return involved.targets.contains(field(line, "target")) && line.time >= involved.first;
    return line.name.startsWith(QLatin1String("platform."))
        || line.name.startsWith(QLatin1String("evacuation."));
}

const LogLine *lastNamed(const QList<LogLine> &lines, const char *name)
{
    const auto found = std::find_if(lines.crbegin(), lines.crend(), [&](const LogLine &line) {
        return line.name == QLatin1String(name);
    });
    return found == lines.crend() ? nullptr : &*found;
}

int countOf(const QList<LogLine> &lines, const char *name)
{
    return int(std::count_if(lines.cbegin(), lines.cend(), [&](const LogLine &line) {
        return line.name == QLatin1String(name);
    }));
}

QString lostStream(const RequestStory &story)
{
    const LogLine *lost = lastNamed(story.lines, "stream.lost");
    if (!lost)
        return QStringLiteral("The stream was broken off; the log does not say why.");
    QString cause =
        QStringLiteral("The stream was lost after event %1 at target %2: %3.")
            .arg(field(*lost, "events"), field(*lost, "target"), field(*lost, "reason"));
    if (const LogLine *leaving = lastNamed(story.lines, "target.leaving"))
        cause += QStringLiteral(" The target was known to leave since %1 (%2).")
                     .arg(leaving->time, field(*leaving, "reason"));
    if (const LogLine *move = lastNamed(story.lines, "move.ended"))
        cause += QStringLiteral(" The last of %1 moves ended as %2.")
                     .arg(countOf(story.lines, "move.begun"))
                     .arg(field(*move, "outcome"));
    return cause;
}

QString failedAtTarget(const RequestStory &story)
{
    const LogLine *send = lastNamed(story.lines, "relay.send_ended");
    if (!send)
        return QStringLiteral("No send ended.");
    QString cause = QStringLiteral("The last of %1 sends, to target %2, ended as %3")
                        .arg(countOf(story.lines, "relay.sent"))
                        .arg(field(*send, "target"), field(*send, "result"));
    if (!field(*send, "reason").isEmpty())
        cause += QStringLiteral(": %1").arg(field(*send, "reason"));
    return cause + u'.';
}

/// The data centres that the daemon knew to be evacuated when the request ended, and since when.
QString evacuations(const RequestStory &story)
{
    QMap<QString, QString> since;
    for (const LogLine &line : story.lines) {
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

QString unplaced(const RequestStory &story)
{
    const LogLine *waiting = lastNamed(story.lines, "relay.waiting");
    QString cause = QStringLiteral("No target took it: %1 engines refused room, %2 sends.")
                        .arg(countOf(story.lines, "reservation.refused"))
                        .arg(countOf(story.lines, "relay.sent"));
    if (waiting)
        cause += QStringLiteral(" %1 targets of its service were known.")
                     .arg(field(*waiting, "targets"));
    return cause + evacuations(story);
}

QString causeOf(const RequestStory &story, const LogLine &ended)
{
    const QString outcome = field(ended, "outcome");
    if (outcome == QLatin1String("answered"))
        return QStringLiteral("First event after %1 ms, longest pause %2 ms, by moves %3 ms.")
            .arg(field(ended, "first_ms"), field(ended, "pause_ms"), field(ended, "move_pause_ms"));
    if (outcome == QLatin1String("broken off"))
        return lostStream(story);
    if (outcome == QLatin1String("no_target"))
        return unplaced(story);
    if (outcome == QLatin1String("caller gone"))
        return QStringLiteral("The caller closed its connection.");
    return failedAtTarget(story);
}

/// Why it was refused before it needed a target.
QString refusal(const RequestStory &story, const LogLine &refused)
{
    QString cause = QStringLiteral("Refused as %1: %2. Configuration version %3, current: %4.")
                        .arg(field(refused, "kind"), field(refused, "detail"),
                             field(refused, "version"), field(refused, "current"));
    const LogLine *down = lastNamed(story.lines, "platform.down");
    const LogLine *back = lastNamed(story.lines, "platform.back");
    if (down && (!back || back->time < down->time))
        cause += QStringLiteral(" The platform's store was away since %1.").arg(down->time);
    return cause;
}

} // namespace

RequestStory storyOf(const QString &request, const QList<LogLine> &lines)
{
    RequestStory story;
    QList<LogLine> sorted = lines;
    std::stable_sort(sorted.begin(), sorted.end(),
                     [](const LogLine &a, const LogLine &b) { return a.time < b.time; });
    const auto isOwn = [&](const LogLine &line) { return field(line, "request") == request; };
    QList<LogLine> own;
    std::copy_if(sorted.cbegin(), sorted.cend(), std::back_inserter(own), isOwn);
    if (own.isEmpty())
        return story;
    const Involved involved = involvedIn(own);
    std::copy_if(sorted.cbegin(), sorted.cend(), std::back_inserter(story.lines),
                 [&](const LogLine &line) { return isOwn(line) || explains(line, involved); });
    if (const LogLine *ended = lastNamed(own, "relay.ended")) {
        story.verdict.append(
            QStringLiteral("Ended as %1 after %2 ms; has run: %3.")
                .arg(field(*ended, "outcome"), field(*ended, "ms"), field(*ended, "ran")));
        story.verdict.append(causeOf(story, *ended));
    } else if (const LogLine *refused = lastNamed(own, "relay.refused")) {
        story.verdict.append(refusal(story, *refused));
    } else {
        story.verdict.append(QStringLiteral("No line says how it ended: its daemon stopped, or its "
                                            "log is not among the files."));
    }
    return story;
}

} // namespace cranberry::ctl
