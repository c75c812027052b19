// Starts daemons with numeric settings that have fractions.
#define BOOST_TEST_MODULE FractionalSettings
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "relay/RelaySettings.h"
#include "support/DeployFields.h"
#include "support/EventLoop.h"
#include "support/PlatformSite.h"
#include "support/SettingsTemplate.h"

#include <csignal>
#include <random>
#include <stdexcept>

using namespace cranberry;
namespace data = boost::unit_test::data;

namespace {

constexpr int Daemons = 3;

struct NumericField {
    QString path;
    double value = 0;
};

std::ostream &operator<<(std::ostream &out, const NumericField &field)
{
    return out << field.path.toStdString() << " = " << field.value;
}

std::vector<NumericField> fractions()
{
    std::vector<NumericField> fields;
    for (const char *path : {"bounds.graceS", "bounds.retryWindowS"}) {
        for (const double value : {7.5, 0.5, 10.25, 90.75, 7.1234567, 8.000000000000001})
            fields.push_back({path, value});
    }
    for (const char *path :
         {"bounds.configApplyMs", "bounds.evacuateMs", "bounds.drainMs", "heartbeatMs"}) {
        for (const double value : {2000.5, 1999.9999, 333.3333, 0.5})
            fields.push_back({path, value});
    }
    for (const double value : {110.5, 24.75})
        fields.push_back({"limits.memoryMb", value});
    fields.push_back({"bounds.retryRatio", 0.125});
    fields.push_back({"bounds.retrySlack", 52.5});
    return fields;
}

struct Site {
    Site()
    {
        site.addRunner("plain-1", "plain");
        site.configure(1);
    }

    /// Returns whether a daemon with @p fields starts and becomes ready.
    bool start(const QJsonObject &fields)
    {
        try {
            site.startDaemonWith(test::renderedDeploySettings(fields));
            return true;
        } catch (const std::runtime_error &error) {
            BOOST_TEST_MESSAGE(error.what());
            return false;
        }
    }

    bool serves(int daemon)
    {
        return site.call(daemon, "GET", "/safe/a", "r" + QByteArray::number(requests++))
                   ->response.status
            == 200;
    }

    test::PlatformSite site;
    QJsonObject fields = test::deployFields(site.storeAddress());
    int requests = 0;
};

RelaySettings readRendered(const QJsonObject &fields)
{
    const Result<RelaySettings> read = parseRelaySettings(test::renderedDeploySettings(fields));
    BOOST_REQUIRE_MESSAGE(read, (read ? QString() : read.error().detail).toStdString());
    return read.value();
}

} // namespace

// Guards against daemons that end at every start when a numeric setting has a fraction.
BOOST_DATA_TEST_CASE(DaemonStartsWithAFraction, data::make(fractions()))
{
    Site site;
    BOOST_REQUIRE(site.start(test::withField(site.fields, sample.path, sample.value)));
    BOOST_TEST(site.serves(0));
}

// Guards against a fleet that is lost in a rolling restart after a grace time became a fraction.
BOOST_AUTO_TEST_CASE(RollingRestartAfterAChangeToAFraction)
{
    Site site;
    for (int daemon = 0; daemon < Daemons; ++daemon) {
        site.fields["node"] = QStringLiteral("vm%1").arg(daemon);
        BOOST_REQUIRE(site.start(site.fields));
    }
    for (int daemon = 0; daemon < Daemons; ++daemon) {
        site.fields["node"] = QStringLiteral("vm%1").arg(daemon);
        site.site.changeSettings(
            daemon,
            test::renderedDeploySettings(test::withField(site.fields, "bounds.graceS", 7.5)));
        site.site.signal(daemon, SIGHUP);
    }
    for (int daemon = 0; daemon < Daemons; ++daemon) {
        site.site.signal(daemon, SIGTERM);
        BOOST_REQUIRE(test::waitFor([&] { return site.site.hasEnded(daemon); }));
        BOOST_REQUIRE_NO_THROW(site.site.restart(daemon));
        BOOST_REQUIRE(test::waitFor([&] { return site.site.isReady(daemon); }));
        BOOST_TEST(site.serves(daemon));
        BOOST_TEST(site.serves((daemon + 1) % Daemons));
    }
}

// Guards against seconds that are read as milliseconds, or a fraction that is cut off.
BOOST_AUTO_TEST_CASE(StopUsesTheFractionOfTheGraceTime)
{
    Site site;
    BOOST_REQUIRE(site.start(test::withField(site.fields, "bounds.graceS", 2.5)));
    site.site.signal(0, SIGTERM);
    BOOST_TEST(test::waitFor([&] { return site.site.hasEndedWell(0); }));
    BOOST_TEST(site.site.log(0).contains(" grace_ms=2500 "));
}

// Guards against fractions that are rounded to more grace time, to more retries or to nothing.
BOOST_AUTO_TEST_CASE(FractionsAreRoundedToTheSafeSide)
{
    std::mt19937 random{1};
    std::uniform_real_distribution<double> seconds(0.0001, 3599);
    std::uniform_real_distribution<double> milliseconds(0.1, 100'000);
    const QJsonObject base = test::deployFields(QStringLiteral("127.0.0.1:1"));
    for (int i = 0; i < 2000; ++i) {
        const double grace = seconds(random);
        const double window = seconds(random);
        const double drain = milliseconds(random);
        QJsonObject fields = test::withField(base, "bounds.graceS", grace);
        fields = test::withField(fields, "bounds.retryWindowS", window);
        fields = test::withField(fields, "bounds.drainMs", drain);
        const RelaySettings read = readRendered(fields);
        const auto isRoundedDown = [](Milliseconds time, double exact) {
            return double(time.count()) <= std::max(exact + 1e-5, 1.0)
                && double(time.count()) > exact - 1;
        };
        BOOST_TEST(isRoundedDown(read.grace, grace * 1000), "grace " << grace);
        BOOST_TEST(isRoundedDown(read.staleness.targets, drain), "drain " << drain);
        BOOST_TEST((double(read.retries.window.count()) >= window * 1000 - 1e-5
                    && double(read.retries.window.count()) < window * 1000 + 1),
                   "window " << window);
    }
}
