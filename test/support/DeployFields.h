// The fields from which the users' platform fills in deploy/settings.json.
#pragma once

#include <QJsonArray>
#include <QJsonObject>

namespace cranberry::test {

/// The fields of a daemon that listens on free ports of 127.0.0.1. Thread-safe.
inline QJsonObject deployFields(const QString &store)
{
    return {{"node", "vm"},
            {"zone", "hall"},
            {"ip", "127.0.0.1"},
            {"internalPorts", QJsonArray{0, 0}},
            {"bootstrap", false},
            {"heartbeatMs", 1200},
            {"listen", QJsonObject{{"front", "127.0.0.1:0"}, {"ready", "127.0.0.1:0"}}},
            {"platform", QJsonObject{{"address", store}}},
            {"limits", QJsonObject{{"memoryMb", 110}, {"maxFds", 4100}}},
            {"bounds",
             QJsonObject{{"drainMs", 2000},
                         {"graceS", 8},
                         {"configApplyMs", 2000},
                         {"evacuateMs", 3000},
                         {"retryRatio", 0.2},
                         {"retryWindowS", 10},
                         {"retrySlack", 52}}}};
}

/// @p fields with @p value at @p path, such as "bounds.graceS". Thread-safe.
inline QJsonObject withField(QJsonObject fields, const QString &path, const QJsonValue &value)
{
    const qsizetype dot = path.indexOf(u'.');
    if (dot < 0) {
        fields[path] = value;
        return fields;
    }
    const QString table = path.first(dot);
    fields[table] = withField(fields.value(table).toObject(), path.mid(dot + 1), value);
    return fields;
}

} // namespace cranberry::test
