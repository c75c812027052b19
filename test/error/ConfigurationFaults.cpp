// Faulty configuration documents: every fault is told with path, value and what is allowed.
#define BOOST_TEST_MODULE ConfigurationFaults
#include <boost/test/unit_test.hpp>

#include "configuration/ConfigurationDocument.h"
#include "support/JsonText.h"

using namespace cranberry;
using cranberry::test::jsonObject;

namespace {

const QByteArray Base = R"({
  "services": {"bulletins": {"kind": "model"}, "index": {"kind": "plain"}},
  "models": {"pollen": {"service": "bulletins", "version": "1"}},
  "workspaces": {"alerts": {
      "key_sha256": ["0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"],
      "services": ["bulletins"]}},
  "targets": {"t1": {"service": "bulletins", "url": "http://127.0.0.1:9001",
                     "data_centre": "dc1", "models": ["pollen"]},
              "i1": {"service": "index", "url": "http://127.0.0.1:9002", "data_centre": "dc1"}}})";

struct Case {
    /// Merged into the valid document above.
    QByteArray change;
    /// The one fault that must come of it.
    QByteArray fault;
};

QString joinedFaults(const QJsonObject &document)
{
    QStringList lines;
    const QList<ConfigurationFault> faults = validateDocument(document);
    for (const ConfigurationFault &fault : faults)
        lines.append(fault.text());
    return lines.join('\n');
}

const QList<Case> Cases{
    {R"({"services": null})", "services: expected an object, got nothing"},
    {R"({"servces": {}})",
     "servces: unknown member, allowed are "
     "\"services\", \"models\", \"workspaces\", \"targets\""},
    {R"({"services": {"bulletins": {"kind": "modle"}}})",
     "services.bulletins.kind: expected one of \"model\", \"plain\", got \"modle\""},
    {R"({"services": {"bulletins": {"queue_limit": -1}}})",
     "services.bulletins.queue_limit: expected a whole number 0..100000, got -1"},
    {R"({"services": {"bulletins": {"queue_limit": 1.5}}})",
     "services.bulletins.queue_limit: expected a whole number 0..100000, got 1.5"},
    {R"({"services": {"bulletins": {"queue_limit": "9"}}})",
     "services.bulletins.queue_limit: expected a whole number 0..100000, got \"9\""},
    {R"({"services": {"bulletins": {"preemption_chance": 0}}})",
     "services.bulletins.preemption_chance: expected a number over 0 and at most 1, got 0"},
    {R"({"services": {"bulletins": {"at_most_once": "no"}}})",
     "services.bulletins.at_most_once: expected true or false, got \"no\""},
    {R"({"services": {"a b": {"kind": "plain"}}})",
     "services.a b: expected 1..64 letters, digits, \".\", \"_\" or \"-\", "
     "a letter or digit first, got \"a b\""},
    {R"({"models": {"pollen": {"max_tokens": 0}}})",
     "models.pollen.max_tokens: expected a whole number 1..10000000, got 0"},
    {R"({"models": {"other": {"service": "nowhere", "version": "1"}}})",
     "models.other.service: expected the name of a service, got \"nowhere\""},
    {R"({"models": {"other": {"service": "index", "version": "1"}}})",
     "models.other.service: expected a service of kind \"model\", got \"index\""},
    {R"({"workspaces": {"alerts": {"key_sha256": ["secret"]}}})",
     "workspaces.alerts.key_sha256[0]: expected 64 lower-case hex digits, got \"secret\""},
    {R"({"workspaces": {"alerts": {"services": ["bulletins", "indx"]}}})",
     "workspaces.alerts.services[1]: expected the name of a service, got \"indx\""},
    {R"({"workspaces": {"alerts": {"services": ["bulletins", "bulletins"]}}})",
     "workspaces.alerts.services[1]: expected distinct values, got \"bulletins\""},
    {R"({"workspaces": {"alerts": {"weight": 0}}})",
     "workspaces.alerts.weight: expected a number over 0 and at most 1000, got 0"},
    {R"({"workspaces": {"alerts": {"limits": {"rps": 1}}}})",
     "workspaces.alerts.limits.rps: unknown member, allowed are "
     "\"concurrent_requests\", \"requests_per_second\""},
    {R"({"workspaces": {"zz": {"services": [], "key_sha256":
        ["0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"]}}})",
     "workspaces.zz.key_sha256[0]: expected a key hash not used by workspace \"alerts\", got "
     "\"0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\""},
    {R"({"targets": {"t1": {"url": "ftp://x"}}})",
     "targets.t1.url: expected \"http://ADDRESS:PORT\", got \"ftp://x\""},
    {R"({"targets": {"t1": {"url": "http://engine.example:80"}}})",
     "targets.t1.url: expected \"http://ADDRESS:PORT\", got \"http://engine.example:80\""},
    {R"({"targets": {"t1": {"data_centre": null}}})",
     "targets.t1.data_centre: expected 1..64 letters, digits, \".\", \"_\" or \"-\", "
     "a letter or digit first, got nothing"},
    {R"({"targets": {"t1": {"models": ["pollen", "rain"]}}})",
     "targets.t1.models[1]: expected a model of the target's service, got \"rain\""},
    {R"({"targets": {"t1": {"models": null}}})",
     "targets.t1.models: expected at least one model, got nothing"},
    {R"({"targets": {"t2": {"service": "bulletins", "url": "http://127.0.0.1:9001",
                            "data_centre": "dc1", "models": ["pollen"]}}})",
     "targets.t2.url: expected an address not used by target \"t1\", "
     "got \"http://127.0.0.1:9001\""},
    {R"({"targets": [1]})", "targets: expected an object, got [1]"},
    {R"({"targets": {"t1": 3}})", "targets.t1: expected an object, got 3"},
};

} // namespace

BOOST_AUTO_TEST_CASE(TheBaseOfTheCasesIsValid)
{
    BOOST_TEST(joinedFaults(jsonObject(Base)).toStdString() == "");
}

BOOST_AUTO_TEST_CASE(EachFaultIsToldWithPathValueAndWhatIsAllowed)
{
    for (const Case &c : Cases) {
        const QString found = joinedFaults(mergePatch(jsonObject(Base), jsonObject(c.change)));
        BOOST_TEST(found.split('\n').contains(QString::fromUtf8(c.fault)),
                   c.change.toStdString() << " gave " << found.toStdString());
    }
}

BOOST_AUTO_TEST_CASE(AllFaultsAreToldAtOnce)
{
    const QJsonObject wrong = mergePatch(
        jsonObject(Base), jsonObject(R"({"services": {"bulletins": {"kind": 1}, "index": 2},
                                        "targets": {"t1": {"url": 5, "port": 9}}})"));
    const QString found = joinedFaults(wrong);
    for (const char *path :
         {"services.bulletins.kind:", "services.index:", "targets.t1.url:", "targets.t1.port:"})
        BOOST_TEST(found.contains(QLatin1String(path)), path << " is missing");
}

BOOST_AUTO_TEST_CASE(ErrorOfReadingNamesTheFirstFault)
{
    const Result<Configuration> read =
        configurationFromDocument(jsonObject("{}"), ConfigurationVersion(1));
    BOOST_REQUIRE(!read.has_value());
    BOOST_CHECK(read.error().kind == ErrorKind::InvalidConfiguration);
    BOOST_TEST(read.error().field.toStdString() == "services");
}

BOOST_AUTO_TEST_CASE(LongValuesAreCutInTheMessage)
{
    const QJsonObject wrong{{"services", QString(100'000, 'x')}};
    BOOST_TEST(joinedFaults(wrong).size() < 200);
}
