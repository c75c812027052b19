// Starts daemons with settings that are out of range, of a wrong type, absent or unknown.
#define BOOST_TEST_MODULE FaultySettings
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "support/DeployFields.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"
#include "support/SettingsTemplate.h"

#include <QJsonDocument>
#include <QProcess>

#include <csignal>
#include <stdexcept>

using namespace cranberry;
namespace data = boost::unit_test::data;

namespace {

struct Fault {
    QString field;
    QJsonValue value;
    /// The path of the setting that the field is rendered to.
    QString setting;
    QString used;
};

std::ostream &operator<<(std::ostream &out, const Fault &fault)
{
    return out << fault.field.toStdString() << " = "
               << fault.value.toVariant().toString().toStdString();
}

std::vector<Fault> faults()
{
    return {
        {"bounds.graceS", 0, "grace_s", "8000 ms"},
        {"bounds.graceS", -1.5, "grace_s", "8000 ms"},
        {"bounds.graceS", 1e9, "grace_s", "3600000 ms"},
        {"bounds.graceS", true, "grace_s", "8000 ms"},
        {"bounds.retryWindowS", 0, "retries.window_s", "10000 ms"},
        {"bounds.retryWindowS", 86400, "retries.window_s", "3600000 ms"},
        {"bounds.retryRatio", 1.5, "retries.ratio", "1"},
        {"bounds.retryRatio", -0.2, "retries.ratio", "0"},
        {"bounds.retrySlack", 2e6, "retries.slack", "1e+06"},
        {"bounds.retrySlack", -1, "retries.slack", "0"},
        {"bounds.configApplyMs", 0, "configuration_apply_ms", "2000 ms"},
        {"bounds.configApplyMs", -5, "configuration_apply_ms", "2000 ms"},
        {"bounds.configApplyMs", 1e300, "configuration_apply_ms", "3600000 ms"},
        {"bounds.evacuateMs", -5, "evacuation_ms", "2000 ms"},
        {"bounds.drainMs", 1e12, "target_drain_ms", "3600000 ms"},
        {"heartbeatMs", -1, "target_heartbeat_ms", "0 ms"},
        {"limits.memoryMb", 2, "memory_mb", "16"},
        {"limits.memoryMb", 2e9, "memory_mb", "1.04858e+06"},
        {"limits.maxFds", 10, "descriptors", "64"},
        {"limits.maxFds", 1000.5, "descriptors", "1000"},
        {"limits.maxFds", 1e10, "descriptors", "1048576"},
    };
}

struct Site {
    Site()
    {
        site.addRunner("plain-1", "plain");
        site.configure(1);
    }

    bool start(const QByteArray &settings)
    {
        try {
            site.startDaemonWith(settings);
            return true;
        } catch (const std::runtime_error &error) {
            BOOST_TEST_MESSAGE(error.what());
            return false;
        }
    }

    bool serves() { return site.call(0, "GET", "/safe/a", "r1")->response.status == 200; }

    test::PlatformSite site;
    QJsonObject fields = test::deployFields(site.storeAddress());
};

int exitCodeOfCheck(const QByteArray &settings)
{
    QTemporaryFile file;
    BOOST_REQUIRE(file.open());
    file.write(settings);
    file.close();
    return QProcess::execute(QStringLiteral(CRANBERRY_PROGRAM_DIRECTORY "/cranberryd-platform"),
                             {"--check", "--settings", file.fileName()});
}

QJsonObject withoutField(QJsonObject fields, const QString &table, const QString &name)
{
    QJsonObject members = fields.value(table).toObject();
    members.remove(name);
    fields[table] = members;
    return fields;
}

} // namespace

// Guards against daemons that end at every start when a setting is out of range or no number.
BOOST_DATA_TEST_CASE(DaemonStartsWithAReplacedValue, data::make(faults()))
{
    Site site;
    const QByteArray settings =
        test::renderedDeploySettings(test::withField(site.fields, sample.field, sample.value));
    BOOST_REQUIRE(site.start(settings));
    BOOST_TEST(site.serves());
    const QString line = QString::fromUtf8(site.site.log(0));
    BOOST_TEST(line.contains("name=settings.fault detail=\"" + sample.setting + ": expected "));
    const QString used = sample.used.contains(u' ') ? u'"' + sample.used + u'"' : sample.used;
    BOOST_TEST(line.contains(" used=" + used + " fatal=no"), line.toStdString());
    BOOST_TEST(site.site.metrics(0).contains("\ncranberry_relay_settings_faults 1\n"));
    BOOST_TEST(exitCodeOfCheck(settings) == 2);
}

// Guards against daemons that end at every start when the platform has no value for a setting.
BOOST_DATA_TEST_CASE(DaemonStartsWithoutAField,
                     data::make({"drainMs", "graceS", "configApplyMs", "evacuateMs", "retryRatio",
                                 "retryWindowS", "retrySlack"}))
{
    Site site;
    BOOST_REQUIRE(
        site.start(test::renderedDeploySettings(withoutField(site.fields, "bounds", sample))));
    BOOST_TEST(site.serves());
    BOOST_TEST(site.site.metrics(0).contains("\ncranberry_relay_settings_faults 0\n"));
}

// Guards against daemons that end at every start when the file has a member of a later version.
BOOST_AUTO_TEST_CASE(DaemonStartsWithAnUnknownMember)
{
    Site site;
    const QByteArray settings =
        test::renderedDeploySettings(site.fields).replace("\"vm\":", "\"later\": 1, \"vm\":");
    BOOST_REQUIRE(site.start(settings));
    BOOST_TEST(site.serves());
    BOOST_TEST(site.site.log(0).contains("later: unknown member"));
    BOOST_TEST(exitCodeOfCheck(settings) == 2);
}

// Guards against a file with which no daemon can start that is noticed only when one is restarted.
BOOST_AUTO_TEST_CASE(UnusableFileIsReportedOnReload)
{
    Site site;
    BOOST_REQUIRE(site.start(test::renderedDeploySettings(site.fields)));
    BOOST_TEST(site.site.metrics(0).contains("\ncranberry_relay_settings_file_usable 1\n"));
    site.site.changeSettings(0, R"({"vm": "a")");
    site.site.signal(0, SIGHUP);
    BOOST_TEST(test::waitFor([&] { return site.site.log(0).contains(" fatal=yes"); }));
    BOOST_TEST(site.site.metrics(0).contains("\ncranberry_relay_settings_file_usable 0\n"));
    BOOST_TEST(site.serves());
    site.site.changeSettings(0, test::renderedDeploySettings(site.fields));
    site.site.signal(0, SIGHUP);
    BOOST_TEST(test::waitFor([&] {
        return site.site.metrics(0).contains("\ncranberry_relay_settings_file_usable 1\n");
    }));
}

// Guards against a daemon that runs under a wrong name or at a wrong address.
BOOST_DATA_TEST_CASE(NothingReplacesNamesAndAddresses,
                     data::make({"vm", "data_centre", "callers", "readiness", "peer", "store"}))
{
    QJsonObject settings{{"vm", "a"},
                         {"data_centre", "b"},
                         {"callers", "127.0.0.1:0"},
                         {"readiness", "127.0.0.1:0"},
                         {"peer", "127.0.0.1:0"},
                         {"store", "127.0.0.1:1"}};
    settings[sample] = "";
    QTemporaryFile file;
    BOOST_REQUIRE(file.open());
    file.write(QJsonDocument(settings).toJson());
    file.close();
    BOOST_TEST(QProcess::execute(QStringLiteral(CRANBERRY_PROGRAM_DIRECTORY "/cranberryd-platform"),
                                 {"--settings", file.fileName()})
               == 2);
}
