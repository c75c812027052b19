// The configuration document: what is valid, how it is read, and merge patches.
#define BOOST_TEST_MODULE ConfigurationDocument
#include <boost/test/unit_test.hpp>

#include "configuration/ConfigurationDocument.h"
#include "support/JsonText.h"

#include <QTextStream>

using namespace cranberry;
using cranberry::test::jsonObject;
using cranberry::test::sourceJson;

namespace {

/// A document that states every member, none with its default.
const QByteArray FullDocument = R"({
  "services": {"bulletins": {"kind": "model", "objective": "inter_token", "policy": "two_choices",
      "at_most_once": true, "preemption_chance": 0.5, "queue_limit": 7,
      "default_deadline_ms": 9000, "targets_check_fencing": false, "concurrent_loads": 3}},
  "models": {"org/pollen:8b": {"service": "bulletins", "version": "1.2", "max_tokens": 99}},
  "workspaces": {"alerts": {
      "key_sha256": ["0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"],
      "services": ["bulletins"], "weight": 2.5,
      "limits": {"concurrent_requests": 4, "requests_per_second": 0.5}}},
  "targets": {"t1": {"service": "bulletins", "url": "http://127.0.0.1:9001",
      "data_centre": "dc1", "models": ["org/pollen:8b"]}}})";

QStringList faultsOf(const QJsonObject &document)
{
    QStringList lines;
    const QList<ConfigurationFault> faults = validateDocument(document);
    for (const ConfigurationFault &fault : faults)
        lines.append(fault.text());
    return lines;
}

QJsonValue atPath(const QJsonObject &document, const QStringList &path)
{
    QJsonValue value = document;
    for (const QString &name : path)
        value = value.toObject().value(name);
    return value;
}

QJsonObject withValue(const QJsonObject &object, const QStringList &path, const QJsonValue &value)
{
    QJsonObject result = object;
    if (path.size() == 1)
        result.insert(path.first(), value);
    else
        result.insert(path.first(),
                      withValue(object.value(path.first()).toObject(), path.mid(1), value));
    return result;
}

/// Every value of @p read, in the order of the ids.
QString textOf(const Configuration &read)
{
    QString text = QString::number(read.version.value()) + '\n';
    QTextStream out(&text);
    for (auto it = read.services.begin(); it != read.services.end(); ++it) {
        out << it.key().text() << int(it->kind) << int(it->objective) << int(it->policy)
            << it->atMostOnce << it->preemptionChance << ' ' << it->queueLimit << ' '
            << it->defaultDeadline.count() << it->targetsCheckFencing << it->concurrentLoads
            << '\n';
    }
    for (auto it = read.models.begin(); it != read.models.end(); ++it)
        out << it.key().text() << it->service.text() << it->version << it->maxTokens.value()
            << '\n';
    for (auto it = read.workspaces.begin(); it != read.workspaces.end(); ++it) {
        out << it.key().text() << it->keyHashes.join(',') << it->weight << ' '
            << it->limits.concurrentRequests << ' ' << it->limits.requestsPerSecond;
        for (const ServiceId &service : it->services)
            out << service.text() << ' ';
        out << '\n';
    }
    for (auto it = read.targets.begin(); it != read.targets.end(); ++it) {
        out << it.key().text() << it->service.text() << it->endpoint.address << it->endpoint.port
            << it->dataCentre.text();
        for (const ModelId &model : it->models)
            out << model.text() << ' ';
        out << '\n';
    }
    out.flush();
    return text;
}

struct SchemaObject {
    QStringList path;
    QString definition;
};

const QList<SchemaObject> SchemaObjects{{{"services", "bulletins"}, "service"},
                                        {{"models", "org/pollen:8b"}, "model"},
                                        {{"workspaces", "alerts"}, "workspace"},
                                        {{"targets", "t1"}, "target"}};

QStringList membersOf(const QJsonValue &schema)
{
    return schema.toObject().value(QLatin1String("properties")).toObject().keys();
}

} // namespace

BOOST_AUTO_TEST_CASE(WorkedExamplesAreValid)
{
    for (const char *name : {"polinia", "leeuwin"}) {
        const QJsonObject document = sourceJson(QStringLiteral("docs/examples/%1.json").arg(name));
        BOOST_TEST(faultsOf(document).join('\n').toStdString() == "");
        BOOST_TEST(configurationFromDocument(document, ConfigurationVersion(1)).has_value());
    }
}

BOOST_AUTO_TEST_CASE(EveryMemberIsRead)
{
    const Configuration read =
        configurationFromDocument(jsonObject(FullDocument), ConfigurationVersion(3)).value();
    BOOST_TEST(read.version.value() == 3);
    const ServiceConfiguration service = read.services.value(ServiceId("bulletins"));
    BOOST_CHECK(service.kind == ServiceKind::Model);
    BOOST_CHECK(service.objective == Objective::InterToken);
    BOOST_CHECK(service.policy == PolicyName::TwoChoices);
    BOOST_TEST(service.atMostOnce);
    BOOST_TEST(service.preemptionChance == 0.5);
    BOOST_TEST(service.queueLimit == 7);
    BOOST_TEST(service.defaultDeadline.count() == 9000);
    BOOST_TEST(!service.targetsCheckFencing);
    BOOST_TEST(service.concurrentLoads == 3);
    const ModelConfiguration model = read.models.value(ModelId("org/pollen:8b"));
    BOOST_CHECK(model.service == ServiceId("bulletins"));
    BOOST_TEST(model.version.toStdString() == "1.2");
    BOOST_TEST(model.maxTokens.value() == 99);
    const WorkspaceConfiguration workspace = read.workspaces.value(WorkspaceId("alerts"));
    BOOST_TEST(workspace.keyHashes.value(0).size() == 64);
    BOOST_CHECK(workspace.services == QList<ServiceId>{ServiceId("bulletins")});
    BOOST_TEST(workspace.weight == 2.5);
    BOOST_TEST(workspace.limits.concurrentRequests == 4);
    BOOST_TEST(workspace.limits.requestsPerSecond == 0.5);
    const TargetConfiguration target = read.targets.value(TargetId("t1"));
    BOOST_TEST(target.endpoint.port == 9001);
    BOOST_CHECK(target.dataCentre == DataCentreId("dc1"));
    BOOST_CHECK(target.models == QList<ModelId>{ModelId("org/pollen:8b")});
}

BOOST_AUTO_TEST_CASE(DefaultsOfTheSchemaAreThoseOfTheCode)
{
    const QJsonObject least = jsonObject(R"({"services": {"s": {"kind": "model"}}})");
    const QJsonObject properties =
        atPath(sourceJson("docs/configuration.schema.json"), {"$defs", "service", "properties"})
            .toObject();
    QJsonObject stated = least;
    for (auto it = properties.begin(); it != properties.end(); ++it) {
        if (it.value().toObject().contains(QLatin1String("default")))
            stated =
                withValue(stated, {"services", "s", it.key()}, it.value().toObject()["default"]);
    }
    const auto read = [](const QJsonObject &document) {
        return configurationFromDocument(document, ConfigurationVersion(1))
            .value()
            .services.first();
    };
    const ServiceConfiguration a = read(least);
    const ServiceConfiguration b = read(stated);
    BOOST_CHECK(a.objective == b.objective && a.policy == b.policy);
    BOOST_TEST(a.atMostOnce == b.atMostOnce);
    BOOST_TEST(a.preemptionChance == b.preemptionChance);
    BOOST_TEST(a.queueLimit == b.queueLimit);
    BOOST_TEST(a.defaultDeadline.count() == b.defaultDeadline.count());
    BOOST_TEST(a.targetsCheckFencing == b.targetsCheckFencing);
    BOOST_TEST(a.concurrentLoads == b.concurrentLoads);
}

BOOST_AUTO_TEST_CASE(SchemaAndRulesKnowTheSameMembers)
{
    const QJsonObject schema = sourceJson("docs/configuration.schema.json");
    const QJsonObject document = jsonObject(FullDocument);
    for (const SchemaObject &object : SchemaObjects) {
        const QStringList members = membersOf(atPath(schema, {"$defs", object.definition}));
        const QStringList stated = atPath(document, object.path).toObject().keys();
        BOOST_TEST(members.join(' ').toStdString() == stated.join(' ').toStdString());
        for (const QString &member : members) {
            const QJsonObject wrong =
                withValue(document, object.path + QStringList{member}, QJsonValue::Null);
            const QString path = object.path.join('.') + '.' + member + ": expected";
            BOOST_TEST(faultsOf(wrong).filter(path).size() == 1, path.toStdString());
        }
    }
}

BOOST_AUTO_TEST_CASE(MergePatchFollowsTheStandard)
{
    // Cases of RFC 7396, appendix A, that objects can state.
    struct Case {
        QByteArray document;
        QByteArray patch;
        QByteArray result;
    };
    const QList<Case> cases{
        {R"({"a":"b"})", R"({"a":"c"})", R"({"a":"c"})"},
        {R"({"a":"b"})", R"({"b":"c"})", R"({"a":"b","b":"c"})"},
        {R"({"a":"b"})", R"({"a":null})", "{}"},
        {R"({"a":"b","b":"c"})", R"({"a":null})", R"({"b":"c"})"},
        {R"({"a":["b"]})", R"({"a":"c"})", R"({"a":"c"})"},
        {R"({"a":"c"})", R"({"a":["b"]})", R"({"a":["b"]})"},
        {R"({"a":{"b":"c"}})", R"({"a":{"b":"d","c":null}})", R"({"a":{"b":"d"}})"},
        {R"({"a":[{"b":"c"}]})", R"({"a":[1]})", R"({"a":[1]})"},
        {R"({"e":null})", R"({"a":1})", R"({"e":null,"a":1})"},
        {"{}", R"({"a":{"bb":{"ccc":null}}})", R"({"a":{"bb":{}}})"},
    };
    for (const Case &c : cases)
        BOOST_CHECK(mergePatch(jsonObject(c.document), jsonObject(c.patch))
                    == jsonObject(c.result));
}

BOOST_AUTO_TEST_CASE(PatchBetweenTwoDocumentsLeadsFromOneToTheOther)
{
    const QList<QJsonObject> documents{
        {},
        jsonObject(FullDocument),
        sourceJson("docs/examples/polinia.json"),
        sourceJson("docs/examples/leeuwin.json"),
        jsonObject(R"({"services":"x","models":{}})"),
        jsonObject(R"({"services":{"bulletins":{"kind":{}}},"targets":[1]})")};
    for (const QJsonObject &from : documents) {
        for (const QJsonObject &to : documents)
            BOOST_CHECK(mergePatch(from, mergePatchBetween(from, to)) == to);
        BOOST_TEST(mergePatchBetween(from, from).isEmpty());
    }
}

BOOST_AUTO_TEST_CASE(ReadingOnlyWhatAPatchTouchesGivesTheSame)
{
    const QList<QJsonObject> documents{
        jsonObject(FullDocument), sourceJson("docs/examples/polinia.json"),
        sourceJson("docs/examples/leeuwin.json"), jsonObject(R"({"services": {}})"),
        jsonObject(R"({"services": {"bulletins": {"kind": "plain"}}, "models": {}})")};
    for (const QJsonObject &from : documents) {
        const Configuration before =
            configurationFromDocument(from, ConfigurationVersion(1)).value();
        for (const QJsonObject &to : documents) {
            const QJsonObject patch = mergePatchBetween(from, to);
            const Configuration whole =
                configurationFromDocument(to, ConfigurationVersion(2)).value();
            const Configuration touched =
                configurationAfterPatch(before, to, patch, ConfigurationVersion(2)).value();
            BOOST_TEST(textOf(touched).toStdString() == textOf(whole).toStdString());
        }
    }
}

BOOST_AUTO_TEST_CASE(PatchThatThisBuildCannotReadIsAFault)
{
    const QJsonObject from = jsonObject(FullDocument);
    const Configuration before = configurationFromDocument(from, ConfigurationVersion(1)).value();
    for (const QByteArray text :
         {R"({"novel": {"x": 1}})", R"({"services": {"bulletins": {"novel": 1}}})",
          R"({"targets": {"t1": {"url": "x"}}})", R"({"services": null})"}) {
        const QJsonObject patch = jsonObject(text);
        const Result<Configuration> read = configurationAfterPatch(before, mergePatch(from, patch),
                                                                   patch, ConfigurationVersion(2));
        BOOST_TEST(!read.has_value(), text.toStdString());
    }
}
