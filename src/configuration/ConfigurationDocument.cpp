#include "configuration/ConfigurationDocument.h"

#include "configuration/DocumentNames.h"
#include "configuration/DocumentReferences.h"
#include "configuration/DocumentRules.h"

#include <QJsonArray>

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

template <typename Id, typename Part>
QMap<Id, Part> readParts(const QJsonValue &parts, Part (*read)(const QJsonObject &))
{
    QMap<Id, Part> result;
    const QJsonObject object = parts.toObject();
    for (auto it = object.begin(); it != object.end(); ++it)
        result.insert(Id(it.key()), read(it.value().toObject()));
    return result;
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
    if (!faults.isEmpty()) {
        Error error;
        error.kind = ErrorKind::InvalidConfiguration;
        error.detail = faults.first().text();
        error.field = faults.first().path;
        return error;
    }
    Configuration configuration;
    configuration.version = version;
    configuration.services = readParts<ServiceId>(document["services"], readService);
    configuration.models = readParts<ModelId>(document["models"], readModel);
    configuration.workspaces = readParts<WorkspaceId>(document["workspaces"], readWorkspace);
    configuration.targets = readParts<TargetId>(document["targets"], readTarget);
    return configuration;
}

} // namespace cranberry
