// Defines FleetPlan, what a test's fleet consists of.
#pragma once

#include <QJsonObject>
#include <QStringList>

namespace cranberry::test {

struct FleetPlan {
    int daemons = 2;
    /// Daemons and targets are dealt to the data centres "dc0", "dc1", ... in turn.
    int dataCentres = 1;
    /// Targets "engine0", ... of the model service "drafts" with the model "m1".
    int engines = 2;
    /// Targets "plain0", ... of the plain service "status".
    int plainServices = 0;
    /// Workspaces "w0", ... with the keys "key-w0", ...
    int workspaces = 2;
    QStringList engineFlags;
    QStringList plainFlags;
    QStringList platformFlags;
    /// Merged into the settings of each daemon; nested objects are merged too.
    QJsonObject daemonSettings;
    /// Merged into the first document's service "drafts".
    QJsonObject draftsService;
};

} // namespace cranberry::test
