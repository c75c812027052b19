// Defines RequestStory, what the logs of several daemons say of one request.
#pragma once

#include "ctl/LogLine.h"

#include <QList>
#include <QStringList>

namespace cranberry::ctl {

struct RequestStory {
    /// Lines of the request, and those of its targets and its daemons' dependencies that explain
    /// them, in order of time.
    QList<LogLine> lines;
    /// How it ended and why, one sentence a line. Empty if no line has the request.
    QStringList verdict;
};

/// Picks the story of @p request from all @p lines. Thread-safe.
RequestStory storyOf(const QString &request, const QList<LogLine> &lines);

} // namespace cranberry::ctl
