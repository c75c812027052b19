#include "configuration/ConfigurationDocument.h"

#include "configuration/DocumentNames.h"
#include "configuration/DocumentReferences.h"
#include "configuration/DocumentRules.h"

#include <QJsonArray>
#include <QStringList>

#include <functional>
#include <optional>

namespace cranberry {

namespace {

using internal::booleanRule;
using internal::distinctListRule;
using internal::namedObjectsRule;
using internal::numberRule;
using internal::objectRule;
using internal::oneOfRule;
using internal::patternRule;
using internal::Presence;
using internal::Rule;
using internal::valueRule;
using internal::wholeNumberRule;

constexpr int LargestQueue = 100'000;
constexpr qint64 LongestDeadlineMs = 24 * 3600 * 1000;
constexpr int MostConcurrentLoads = 1000;
constexpr qint64 LargestMaxTokens = 10'000'000;
constexpr double LargestWeight = 1000;
constexpr int LargestLimit = 1'000'000;

const QString Services = QStringLiteral("services");
const QString Models = QStringLiteral("models");
const QString Workspaces = QStringLiteral("workspaces");
const QString Targets = QStringLiteral("targets");

const char IdExpected[] = "1..64 letters, digits, \".\", \"_\" or \"-\", a letter or digit first";
const char IdPattern[] = "[A-Za-z0-9][A-Za-z0-9._-]{0,63}";
const char ModelIdExpected[] =
    "1..128 letters, digits, \".\", \"_\", \"-\", \":\" or \"/\", a letter or digit first";
const char ModelIdPattern[] = "[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}";

QString text(const char *latin1)
{
    return QString::fromLatin1(latin1);
}

Rule idRule()
{
    return patternRule(text(IdExpected), text(IdPattern));
}

Rule modelIdRule()
{
    return patternRule(text(ModelIdExpected), text(ModelIdPattern));
}

Rule serviceRule()
{
    return objectRule({
        {"kind", Presence::Required, oneOfRule(internal::namesOf(internal::ServiceKindNames))},
        {"objective", Presence::Optional, oneOfRule(internal::namesOf(internal::ObjectiveNames))},
        {"policy", Presence::Optional, oneOfRule(internal::namesOf(internal::PolicyNames))},
        {"at_most_once", Presence::Optional, booleanRule()},
        {"preemption_chance", Presence::Optional, numberRule(0, 1, false)},
        {"queue_limit", Presence::Optional, wholeNumberRule(0, LargestQueue)},
        {"default_deadline_ms", Presence::Optional, wholeNumberRule(1, LongestDeadlineMs)},
        {"targets_check_fencing", Presence::Optional, booleanRule()},
        {"concurrent_loads", Presence::Optional, wholeNumberRule(1, MostConcurrentLoads)},
    });
}

Rule modelRule()
{
    return objectRule({
        {"service", Presence::Required, idRule()},
        {"version", Presence::Required, patternRule(text(ModelIdExpected), text(ModelIdPattern))},
        {"max_tokens", Presence::Optional, wholeNumberRule(1, LargestMaxTokens)},
    });
}

Rule workspaceRule()
{
    const Rule hash =
        patternRule(QStringLiteral("64 lower-case hex digits"), QStringLiteral("[0-9a-f]{64}"));
    const Rule limits = objectRule({
        {"concurrent_requests", Presence::Optional, wholeNumberRule(0, LargestLimit)},
        {"requests_per_second", Presence::Optional, numberRule(0, LargestLimit, true)},
    });
    return objectRule({
        {"key_sha256", Presence::Required, distinctListRule(hash)},
        {"services", Presence::Required, distinctListRule(idRule())},
        {"weight", Presence::Optional, numberRule(0, LargestWeight, false)},
        {"limits", Presence::Optional, limits},
    });
}

Rule targetRule()
{
    const Rule url =
        valueRule(QStringLiteral("\"http://ADDRESS:PORT\""), [](const QJsonValue &value) {
            return value.isString() && parseEndpoint(value.toString()).has_value();
        });
    return objectRule({
        {"service", Presence::Required, idRule()},
        {"url", Presence::Required, url},
        {"data_centre", Presence::Required, idRule()},
        {"models", Presence::Optional, distinctListRule(modelIdRule())},
    });
}

const Rule &documentRule()
{
    const auto named = [](const Rule &rule) {
        return namedObjectsRule(text(IdExpected), text(IdPattern), rule);
    };
    static const Rule rule = objectRule({
        {"services", Presence::Required, named(serviceRule())},
        {"models", Presence::Optional,
         namedObjectsRule(text(ModelIdExpected), text(ModelIdPattern), modelRule())},
        {"workspaces", Presence::Optional, named(workspaceRule())},
        {"targets", Presence::Optional, named(targetRule())},
    });
    return rule;
}

ServiceConfiguration readService(const QJsonObject &json)
{
    ServiceConfiguration service;
    service.kind = internal::valueNamed(internal::ServiceKindNames, json["kind"], service.kind);
    service.objective =
        internal::valueNamed(internal::ObjectiveNames, json["objective"], service.objective);
    service.policy = internal::valueNamed(internal::PolicyNames, json["policy"], service.policy);
    service.atMostOnce = json["at_most_once"].toBool(service.atMostOnce);
    service.preemptionChance = json["preemption_chance"].toDouble(service.preemptionChance);
    service.queueLimit = json["queue_limit"].toInt(service.queueLimit);
    service.defaultDeadline =
        Milliseconds(json["default_deadline_ms"].toInteger(service.defaultDeadline.count()));
    service.targetsCheckFencing = json["targets_check_fencing"].toBool(service.targetsCheckFencing);
    service.concurrentLoads = json["concurrent_loads"].toInt(service.concurrentLoads);
    return service;
}

ModelConfiguration readModel(const QJsonObject &json)
{
    ModelConfiguration model;
    model.service = ServiceId(json["service"].toString());
    model.version = json["version"].toString();
    model.maxTokens = Tokens(json["max_tokens"].toInteger(model.maxTokens.value()));
    return model;
}

WorkspaceConfiguration readWorkspace(const QJsonObject &json)
{
    WorkspaceConfiguration workspace;
    const QJsonArray hashes = json["key_sha256"].toArray();
    for (const auto &hash : hashes)
        workspace.keyHashes.append(hash.toString().toLatin1());
    const QJsonArray services = json["services"].toArray();
    for (const auto &service : services)
        workspace.services.append(ServiceId(service.toString()));
    workspace.weight = json["weight"].toDouble(workspace.weight);
    const QJsonObject limits = json["limits"].toObject();
    workspace.limits.concurrentRequests = limits["concurrent_requests"].toInt();
    workspace.limits.requestsPerSecond = limits["requests_per_second"].toDouble();
    return workspace;
}

TargetConfiguration readTarget(const QJsonObject &json)
{
    TargetConfiguration target;
    target.service = ServiceId(json["service"].toString());
    target.endpoint = parseEndpoint(json["url"].toString()).value_or(HttpEndpoint());
    target.dataCentre = DataCentreId(json["data_centre"].toString());
    const QJsonArray models = json["models"].toArray();
    for (const auto &model : models)
        target.models.append(ModelId(model.toString()));
    return target;
}

/// Reads those of @p names that are in @p parts into @p into, and removes the others there.
template <typename Id, typename Part>
void readParts(const QJsonObject &parts, const QStringList &names,
               Part (*read)(const QJsonObject &), QMap<Id, Part> &into)
{
    for (const QString &name : names) {
        const auto found = parts.constFind(name);
        if (found == parts.constEnd())
            into.remove(Id(name));
        else
            into.insert(Id(name), read(found->toObject()));
    }
}

/// For each part of a document, the names in it.
using PartNames = std::function<QStringList(const QString &part)>;

void readInto(Configuration &configuration, const QJsonObject &document, const PartNames &names)
{
    const auto partOf = [&](const QString &part) { return document.value(part).toObject(); };
    readParts(partOf(Services), names(Services), readService, configuration.services);
    readParts(partOf(Models), names(Models), readModel, configuration.models);
    readParts(partOf(Workspaces), names(Workspaces), readWorkspace, configuration.workspaces);
    readParts(partOf(Targets), names(Targets), readTarget, configuration.targets);
}

Error invalid(const ConfigurationFault &fault)
{
    Error error;
    error.kind = ErrorKind::InvalidConfiguration;
    error.detail = fault.text();
    error.field = fault.path;
    return error;
}

/// The entries of @p document that @p patch touches, as a document of their own; nothing if
/// the patch replaces a whole part.
std::optional<QJsonObject> touchedDocument(const QJsonObject &document, const QJsonObject &patch)
{
    QJsonObject touched{{Services, QJsonObject()}};
    for (auto part = patch.begin(); part != patch.end(); ++part) {
        const QJsonValue present = document.value(part.key());
        if (!part.value().isObject() || !present.isObject())
            return std::nullopt;
        const QJsonObject entries = present.toObject();
        QJsonObject found;
        const QStringList names = part.value().toObject().keys();
        for (const QString &name : names) {
            if (entries.contains(name))
                found.insert(name, entries.value(name));
        }
        touched.insert(part.key(), found);
    }
    return touched;
}

} // namespace

QList<ConfigurationFault> validateDocument(const QJsonObject &document)
{
    QList<ConfigurationFault> faults;
    documentRule()(QString(), document, faults);
    internal::checkReferences(document, faults);
    return faults;
}

Result<Configuration> configurationFromDocument(const QJsonObject &document,
                                                ConfigurationVersion version)
{
    const QList<ConfigurationFault> faults = validateDocument(document);
    if (!faults.isEmpty())
        return invalid(faults.first());
    Configuration configuration;
    configuration.version = version;
    readInto(configuration, document,
             [&](const QString &part) { return document.value(part).toObject().keys(); });
    return configuration;
}

Result<Configuration> configurationAfterPatch(const Configuration &before,
                                              const QJsonObject &document, const QJsonObject &patch,
                                              ConfigurationVersion version)
{
    const std::optional<QJsonObject> touched = touchedDocument(document, patch);
    if (!touched)
        return configurationFromDocument(document, version);
    QList<ConfigurationFault> faults;
    documentRule()(QString(), *touched, faults);
    if (!faults.isEmpty())
        return invalid(faults.first());
    Configuration configuration = before;
    configuration.version = version;
    readInto(configuration, document,
             [&](const QString &part) { return patch.value(part).toObject().keys(); });
    return configuration;
}

} // namespace cranberry
