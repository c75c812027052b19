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
using internal::integerRule;
using internal::namedObjectsRule;
using internal::numberRule;
using internal::objectRule;
using internal::oneOfRule;
using internal::patternRule;
using internal::Presence;
using internal::Rule;
using internal::valueRule;

constexpr int MaxQueueLimit = 100'000;
constexpr qint64 MaxDeadlineMs = 24 * 3600 * 1000;
constexpr int MaxConcurrentLoads = 1000;
constexpr qint64 MaxTokensLimit = 10'000'000;
constexpr double MaxWorkspaceWeight = 1000;
constexpr int MaxWorkspaceLimit = 1'000'000;

const QString Services = QStringLiteral("services");
const QString Models = QStringLiteral("models");
const QString Workspaces = QStringLiteral("workspaces");
const QString Targets = QStringLiteral("targets");

const char IdExpected[] = "1..64 letters, digits, \".\", \"_\" or \"-\", a letter or digit first";
const char IdPattern[] = "[A-Za-z0-9][A-Za-z0-9._-]{0,63}";
const char ModelIdExpected[] =
    "1..128 letters, digits, \".\", \"_\", \"-\", \":\" or \"/\", a letter or digit first";
const char ModelIdPattern[] = "[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}";

QString toQString(const char *latin1)
{
    return QString::fromLatin1(latin1);
}

Rule idRule()
{
    return patternRule(toQString(IdExpected), toQString(IdPattern));
}

Rule modelIdRule()
{
    return patternRule(toQString(ModelIdExpected), toQString(ModelIdPattern));
}

Rule serviceRule()
{
    return objectRule({
        {"kind", Presence::Required, oneOfRule(internal::namesOf(internal::ServiceKindNames))},
        {"objective", Presence::Optional, oneOfRule(internal::namesOf(internal::ObjectiveNames))},
        {"policy", Presence::Optional, oneOfRule(internal::namesOf(internal::PolicyNames))},
        {"at_most_once", Presence::Optional, booleanRule()},
        {"preemption_chance", Presence::Optional, numberRule(0, 1, false)},
        {"queue_limit", Presence::Optional, integerRule(0, MaxQueueLimit)},
        {"default_deadline_ms", Presence::Optional, integerRule(1, MaxDeadlineMs)},
        {"targets_check_fencing", Presence::Optional, booleanRule()},
        {"concurrent_loads", Presence::Optional, integerRule(1, MaxConcurrentLoads)},
    });
}

Rule modelRule()
{
    return objectRule({
        {"service", Presence::Required, idRule()},
        {"version", Presence::Required,
         patternRule(toQString(ModelIdExpected), toQString(ModelIdPattern))},
        {"max_tokens", Presence::Optional, integerRule(1, MaxTokensLimit)},
    });
}

Rule workspaceRule()
{
    const Rule hash =
        patternRule(QStringLiteral("64 lower-case hex digits"), QStringLiteral("[0-9a-f]{64}"));
    const Rule limits = objectRule({
        {"concurrent_requests", Presence::Optional, integerRule(0, MaxWorkspaceLimit)},
        {"requests_per_second", Presence::Optional, numberRule(0, MaxWorkspaceLimit, true)},
    });
    return objectRule({
        {"key_sha256", Presence::Required, distinctListRule(hash)},
        {"services", Presence::Required, distinctListRule(idRule())},
        {"weight", Presence::Optional, numberRule(0, MaxWorkspaceWeight, false)},
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
    const auto objectsById = [](const Rule &rule) {
        return namedObjectsRule(toQString(IdExpected), toQString(IdPattern), rule);
    };
    static const Rule rule = objectRule({
        {"services", Presence::Required, objectsById(serviceRule())},
        {"models", Presence::Optional,
         namedObjectsRule(toQString(ModelIdExpected), toQString(ModelIdPattern), modelRule())},
        {"workspaces", Presence::Optional, objectsById(workspaceRule())},
        {"targets", Presence::Optional, objectsById(targetRule())},
    });
    return rule;
}

ServiceConfiguration readService(const QJsonObject &json)
{
    ServiceConfiguration service;
    service.kind =
        internal::enumeratorNamed(internal::ServiceKindNames, json["kind"], service.kind);
    service.objective =
        internal::enumeratorNamed(internal::ObjectiveNames, json["objective"], service.objective);
    service.policy =
        internal::enumeratorNamed(internal::PolicyNames, json["policy"], service.policy);
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

/// Reads the entries @p names of @p section into @p entries. Removes from @p entries those of
/// @p names that @p section does not contain.
template <typename Id, typename Entry>
void readSection(const QJsonObject &section, const QStringList &names,
                 Entry (*read)(const QJsonObject &), QMap<Id, Entry> &entries)
{
    for (const QString &name : names) {
        const auto found = section.constFind(name);
        if (found == section.constEnd())
            entries.remove(Id(name));
        else
            entries.insert(Id(name), read(found->toObject()));
    }
}

/// Returns the names of the entries to read for a section of a document.
using SectionNames = std::function<QStringList(const QString &section)>;

void readInto(Configuration &configuration, const QJsonObject &document, const SectionNames &names)
{
    const auto sectionOf = [&](const QString &section) {
        return document.value(section).toObject();
    };
    readSection(sectionOf(Services), names(Services), readService, configuration.services);
    readSection(sectionOf(Models), names(Models), readModel, configuration.models);
    readSection(sectionOf(Workspaces), names(Workspaces), readWorkspace, configuration.workspaces);
    readSection(sectionOf(Targets), names(Targets), readTarget, configuration.targets);
}

Error invalidConfiguration(const ConfigurationFault &fault)
{
    Error error;
    error.kind = ErrorKind::InvalidConfiguration;
    error.detail = fault.text();
    error.field = fault.path;
    return error;
}

/// A document with only those entries of @p document that @p patch changes; nullopt if the patch
/// replaces or removes a whole section.
std::optional<QJsonObject> affectedEntries(const QJsonObject &document, const QJsonObject &patch)
{
    QJsonObject affected{{Services, QJsonObject()}};
    for (auto section = patch.begin(); section != patch.end(); ++section) {
        const QJsonValue current = document.value(section.key());
        if (!section.value().isObject() || !current.isObject())
            return std::nullopt;
        const QJsonObject entries = current.toObject();
        QJsonObject found;
        const QStringList names = section.value().toObject().keys();
        for (const QString &name : names) {
            if (entries.contains(name))
                found.insert(name, entries.value(name));
        }
        affected.insert(section.key(), found);
    }
    return affected;
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
        return invalidConfiguration(faults.first());
    Configuration configuration;
    configuration.version = version;
    readInto(configuration, document,
             [&](const QString &section) { return document.value(section).toObject().keys(); });
    return configuration;
}

Result<Configuration> configurationAfterPatch(const Configuration &before,
                                              const QJsonObject &document, const QJsonObject &patch,
                                              ConfigurationVersion version)
{
    const std::optional<QJsonObject> affected = affectedEntries(document, patch);
    if (!affected)
        return configurationFromDocument(document, version);
    QList<ConfigurationFault> faults;
    documentRule()(QString(), *affected, faults);
    if (!faults.isEmpty())
        return invalidConfiguration(faults.first());
    Configuration configuration = before;
    configuration.version = version;
    readInto(configuration, document,
             [&](const QString &section) { return patch.value(section).toObject().keys(); });
    return configuration;
}

} // namespace cranberry
