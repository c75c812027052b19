#include "configuration/DocumentReferences.h"

#include <QHash>
#include <QJsonArray>
#include <QJsonObject>

namespace cranberry::internal {

namespace {

struct Sections {
    QJsonObject services;
    QJsonObject models;
    QJsonObject workspaces;
    QJsonObject targets;
};

void checkServiceExists(const Sections &sections, const QString &path, const QJsonValue &name,
                        Faults &faults)
{
    if (name.isString() && !sections.services.contains(name.toString()))
        faults.append(unexpectedValue(path, QStringLiteral("the name of a service"), name));
}

bool isPlainService(const Sections &sections, const QJsonValue &service)
{
    const QJsonObject serviceObject = sections.services.value(service.toString()).toObject();
    return serviceObject.value(QLatin1String("kind")) == QLatin1String("plain");
}

void checkModels(const Sections &sections, Faults &faults)
{
    for (auto it = sections.models.begin(); it != sections.models.end(); ++it) {
        const QString path = memberPath(QStringLiteral("models"), it.key()) + ".service";
        const QJsonValue service = it.value().toObject().value(QLatin1String("service"));
        checkServiceExists(sections, path, service, faults);
        if (isPlainService(sections, service))
            faults.append(
                unexpectedValue(path, QStringLiteral("a service of kind \"model\""), service));
    }
}

void checkWorkspaces(const Sections &sections, Faults &faults)
{
    QHash<QString, QString> ownerOfHash;
    for (auto it = sections.workspaces.begin(); it != sections.workspaces.end(); ++it) {
        const QString path = memberPath(QStringLiteral("workspaces"), it.key());
        const QJsonArray services = it.value().toObject()[QLatin1String("services")].toArray();
        for (qsizetype i = 0; i < services.size(); ++i)
            checkServiceExists(sections, elementPath(path + ".services", i), services.at(i),
                               faults);
        const QJsonArray hashes = it.value().toObject()[QLatin1String("key_sha256")].toArray();
        for (qsizetype i = 0; i < hashes.size(); ++i) {
            const QString hash = hashes.at(i).toString();
            const QString owner = ownerOfHash.value(hash, it.key());
            if (owner != it.key()) {
                faults.append(unexpectedValue(
                    elementPath(path + ".key_sha256", i),
                    QStringLiteral("a key hash not used by workspace \"%1\"").arg(owner),
                    hashes.at(i)));
            }
            ownerOfHash.insert(hash, owner);
        }
    }
}

void checkTargetModels(const Sections &sections, const QString &path, const QJsonObject &target,
                       Faults &faults)
{
    const QJsonValue service = target.value(QLatin1String("service"));
    const QJsonValue modelsValue = target.value(QLatin1String("models"));
    if (!sections.services.contains(service.toString())
        || !(modelsValue.isArray() || modelsValue.isUndefined()))
        return;
    const QJsonArray models = modelsValue.toArray();
    if (isPlainService(sections, service) && !models.isEmpty())
        faults.append(
            unexpectedValue(path, QStringLiteral("no models on a plain service"), modelsValue));
    if (!isPlainService(sections, service) && models.isEmpty())
        faults.append(unexpectedValue(path, QStringLiteral("at least one model"), modelsValue));
    for (qsizetype i = 0; i < models.size(); ++i) {
        const QJsonObject model = sections.models.value(models.at(i).toString()).toObject();
        if (models.at(i).isString() && model.value(QLatin1String("service")) != service)
            faults.append(unexpectedValue(elementPath(path, i),
                                          QStringLiteral("a model of the target's service"),
                                          models.at(i)));
    }
}

void checkTargets(const Sections &sections, Faults &faults)
{
    // Placement would plan each of two targets with one address as if it had the whole memory of
    // the engine. The engine would run out of memory and preempt requests.
    QHash<QString, QString> targetAtUrl;
    for (auto it = sections.targets.begin(); it != sections.targets.end(); ++it) {
        const QString path = memberPath(QStringLiteral("targets"), it.key());
        const QJsonObject target = it.value().toObject();
        checkServiceExists(sections, path + ".service", target.value(QLatin1String("service")),
                           faults);
        checkTargetModels(sections, path + ".models", target, faults);
        const QJsonValue url = target.value(QLatin1String("url"));
        const QString firstTarget = targetAtUrl.value(url.toString(), it.key());
        if (url.isString() && firstTarget != it.key()
            && !isPlainService(sections, target["service"])) {
            faults.append(unexpectedValue(
                path + ".url",
                QStringLiteral("an address not used by target \"%1\"").arg(firstTarget), url));
        }
        if (!isPlainService(sections, target["service"]))
            targetAtUrl.insert(url.toString(), firstTarget);
    }
}

} // namespace

void checkReferences(const QJsonObject &document, Faults &faults)
{
    const Sections sections{document.value(QLatin1String("services")).toObject(),
                            document.value(QLatin1String("models")).toObject(),
                            document.value(QLatin1String("workspaces")).toObject(),
                            document.value(QLatin1String("targets")).toObject()};
    checkModels(sections, faults);
    checkWorkspaces(sections, faults);
    checkTargets(sections, faults);
}

} // namespace cranberry::internal
