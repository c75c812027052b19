#include "configuration/DocumentReferences.h"

#include <QHash>
#include <QJsonArray>
#include <QJsonObject>

namespace cranberry::internal {

namespace {

struct Parts {
    QJsonObject services;
    QJsonObject models;
    QJsonObject workspaces;
    QJsonObject targets;
};

void checkService(const Parts &parts, const QString &path, const QJsonValue &name, Faults &faults)
{
    if (name.isString() && !parts.services.contains(name.toString()))
        faults.append(unexpected(path, QStringLiteral("the name of a service"), name));
}

bool isPlain(const Parts &parts, const QJsonValue &service)
{
    const QJsonObject found = parts.services.value(service.toString()).toObject();
    return found.value(QLatin1String("kind")) == QLatin1String("plain");
}

void checkModels(const Parts &parts, Faults &faults)
{
    for (auto it = parts.models.begin(); it != parts.models.end(); ++it) {
        const QString path = memberPath(QStringLiteral("models"), it.key()) + ".service";
        const QJsonValue service = it.value().toObject().value(QLatin1String("service"));
        checkService(parts, path, service, faults);
        if (isPlain(parts, service))
            faults.append(unexpected(path, QStringLiteral("a service of kind \"model\""), service));
    }
}

void checkWorkspaces(const Parts &parts, Faults &faults)
{
    QHash<QString, QString> ownerOfHash;
    for (auto it = parts.workspaces.begin(); it != parts.workspaces.end(); ++it) {
        const QString path = memberPath(QStringLiteral("workspaces"), it.key());
        const QJsonArray services = it.value().toObject()[QLatin1String("services")].toArray();
        for (qsizetype i = 0; i < services.size(); ++i)
            checkService(parts, elementPath(path + ".services", i), services.at(i), faults);
        const QJsonArray hashes = it.value().toObject()[QLatin1String("key_sha256")].toArray();
        for (qsizetype i = 0; i < hashes.size(); ++i) {
            const QString hash = hashes.at(i).toString();
            const QString owner = ownerOfHash.value(hash, it.key());
            if (owner != it.key()) {
                faults.append(unexpected(
                    elementPath(path + ".key_sha256", i),
                    QStringLiteral("a key of one workspace only, \"%1\" has it").arg(owner),
                    hashes.at(i)));
            }
            ownerOfHash.insert(hash, owner);
        }
    }
}

void checkTargetModels(const Parts &parts, const QString &path, const QJsonObject &target,
                       Faults &faults)
{
    const QJsonValue service = target.value(QLatin1String("service"));
    const QJsonValue stated = target.value(QLatin1String("models"));
    if (!parts.services.contains(service.toString()) || !(stated.isArray() || stated.isUndefined()))
        return;
    const QJsonArray models = stated.toArray();
    if (isPlain(parts, service) && !models.isEmpty())
        faults.append(unexpected(path, QStringLiteral("no models on a plain service"), stated));
    if (!isPlain(parts, service) && models.isEmpty())
        faults.append(unexpected(path, QStringLiteral("at least one model"), stated));
    for (qsizetype i = 0; i < models.size(); ++i) {
        const QJsonObject model = parts.models.value(models.at(i).toString()).toObject();
        if (models.at(i).isString() && model.value(QLatin1String("service")) != service)
            faults.append(unexpected(elementPath(path, i),
                                     QStringLiteral("a model of the target's service"),
                                     models.at(i)));
    }
}

void checkTargets(const Parts &parts, Faults &faults)
{
    // Two targets at one address would each be planned as if they had the engine's memory
    // for themselves; the engine would run out and preempt.
    QHash<QString, QString> targetAtUrl;
    for (auto it = parts.targets.begin(); it != parts.targets.end(); ++it) {
        const QString path = memberPath(QStringLiteral("targets"), it.key());
        const QJsonObject target = it.value().toObject();
        checkService(parts, path + ".service", target.value(QLatin1String("service")), faults);
        checkTargetModels(parts, path + ".models", target, faults);
        const QJsonValue url = target.value(QLatin1String("url"));
        const QString first = targetAtUrl.value(url.toString(), it.key());
        if (url.isString() && first != it.key() && !isPlain(parts, target["service"])) {
            faults.append(unexpected(
                path + ".url",
                QStringLiteral("an address of one target only, \"%1\" has it").arg(first), url));
        }
        if (!isPlain(parts, target["service"]))
            targetAtUrl.insert(url.toString(), first);
    }
}

} // namespace

void checkReferences(const QJsonObject &document, Faults &faults)
{
    const Parts parts{document.value(QLatin1String("services")).toObject(),
                      document.value(QLatin1String("models")).toObject(),
                      document.value(QLatin1String("workspaces")).toObject(),
                      document.value(QLatin1String("targets")).toObject()};
    checkModels(parts, faults);
    checkWorkspaces(parts, faults);
    checkTargets(parts, faults);
}

} // namespace cranberry::internal
