#include "Runner.h"
#include "Site.h"

#include <algorithm>
#include <atomic>

namespace {

constexpr double MaxSeconds = 118;

bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return !trouble || std::string(trouble) != "0";
}

struct Counts {
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
};

bool isWholeStream(const Result &result, const std::string &id, int events)
{
    const std::string last = id + '-' + std::to_string(events) + "\n";
    return result.status == 200 && result.isWhole && result.body.find(last) != std::string::npos;
}

void sendStream(Site &site, const Daemon &daemon, int events, Counts &counts)
{
    const std::string id = newId();
    ++counts.sent;
    const double at = site.now();
    const Result result = call(daemon.callers, "POST", "/draft/a",
                               requestHeaders(id, 39000, 1000, events * 4), 39, "prompt " + id);
    const bool isServed = isWholeStream(result, id, events);
    counts.served += isServed;
    site.note("stream %s of %d events, sent to %s at %.3f: status %d, %s, Retry-After %s, %.0f ms",
              id.c_str(), events, daemon.name.c_str(), at, result.status,
              isServed ? "whole" : "not whole", valueOf(result.headers, "Retry-After").c_str(),
              result.seconds * 1000);
}

void sendPlain(Site &site, const Daemon &daemon, bool isSafe, Counts &counts)
{
    const std::string id = newId();
    ++counts.sent;
    const double at = site.now();
    const Result result = isSafe
        ? call(daemon.callers, "GET", "/feed/" + id, requestHeaders(id, 2500), 2.5)
        : call(daemon.callers, "POST", "/tile/" + id, requestHeaders(id, 2500), 2.5, "body");
    const bool isServed = result.status == 200 && result.isWhole && result.body == "body of " + id;
    counts.served += isServed;
    site.note("%s %s, sent to %s at %.3f: status %d, %s, %.0f ms", isSafe ? "safe" : "unsafe",
              id.c_str(), daemon.name.c_str(), at, result.status,
              isServed ? "served" : "not served", result.seconds * 1000);
}

void addSmallSite(Site &site, const std::string &plainKind = "plain")
{
    for (const char *zone : {"bilbao-hall", "oviedo-hall", "santander-hall"}) {
        site.addRunner("lm", zone, "engine", 24);
        site.addRunner("api", zone, plainKind, 6);
        site.addDaemon(zone);
    }
    site.store.put("op/config", configuration());
    site.startBeats();
}

/// The store is down twice. Streams run all the while; afterwards all runners are well and listed.
int storeDownTwice(Site &site)
{
    constexpr double Outage = 4.5;
    constexpr double Between = 1.2;
    constexpr double ReturnDelay = 1.5;
    constexpr double Length = 90;
    /// More than 12 s (recoverS) after the second return of the store.
    constexpr double LateFrom = 30;
    addSmallSite(site);
    if (!site.startDaemons())
        return 2;
    const double start = site.now();
    std::vector<std::thread> threads;
    Counts streams;
    Counts plain;
    Counts late;
    for (const Daemon &daemon : site.daemons) {
        for (int i = 0; i < 4; ++i) {
            threads.emplace_back([&] { sendStream(site, daemon, 600, streams); });
            sleepFor(0.05);
        }
    }
    std::thread traffic([&] {
        while (site.now() - start < Length) {
            for (const Daemon &daemon : site.daemons) {
                Counts &counts = site.now() - start > LateFrom ? late : streams;
                threads.emplace_back([&] { sendStream(site, daemon, 4, counts); });
                for (int i = 0; i < 3; ++i)
                    threads.emplace_back([&, i] { sendPlain(site, daemon, i == 0, plain); });
            }
            sleepFor(0.5);
        }
    });
    if (hasTrouble()) {
        sleepFor(3);
        site.setStoreDown(true);
        sleepFor(Outage);
        site.setStoreDown(false, ReturnDelay);
        sleepFor(Between);
        site.setStoreDown(true);
        sleepFor(Outage);
        site.setStoreDown(false, ReturnDelay);
    }
    traffic.join();
    for (std::thread &thread : threads)
        thread.join();
    streams.sent += late.sent;
    streams.served += late.served;
    site.recordRunners();
    const double share = double(streams.served) / streams.sent;
    const double all = double(streams.served + plain.served) / double(streams.sent + plain.sent);
    site.note("streams: %d of %d served (%.2f); plain requests: %d of %d; all: %.2f",
              streams.served.load(), streams.sent.load(), share, plain.served.load(),
              plain.sent.load(), all);
    site.note("streams sent more than 12 s after the runners are listed again: %d of %d served",
              late.served.load(), late.sent.load());
    const bool isBroken = share < all / 4;
    site.note("%s",
              isBroken ? "BROKEN: streams are served less than a quarter as often as all"
                       : "held: streams are served at least a quarter as often as all");
    return isBroken ? 1 : 0;
}

/// One engine falls silent for a second or so while streams run there, and goes on.
int engineFallsSilent(Site &site)
{
    addSmallSite(site);
    if (!site.startDaemons())
        return 2;
    std::vector<std::thread> threads;
    Counts streams;
    for (int i = 0; i < 3; ++i) {
        for (const Daemon &daemon : site.daemons) {
            threads.emplace_back([&] { sendStream(site, daemon, 160, streams); });
            sleepFor(0.1);
        }
    }
    sleepFor(3);
    if (hasTrouble()) {
        site.note("%s falls silent for %.1f s", site.runners[0].id.c_str(), SilenceSeconds);
        ::kill(site.runners[0].process, SIGUSR1);
    }
    for (std::thread &thread : threads)
        thread.join();
    site.recordRunners();
    // For each request, the time from the begin of a later run until the last token of an earlier
    // run at another engine.
    struct Stay {
        std::string runner;
        double begun;
        double last;
    };
    std::map<std::string, std::vector<Stay>> stays;
    for (const auto &row : site.runnerLines()) {
        if (row[3].size() < 16)
            continue;
        std::vector<Stay> &known = stays[row[3]];
        const double at = std::atof(row[0].c_str());
        if (row[2] == "run")
            known.push_back({row[1], at, at});
        for (Stay &stay : known) {
            // Orders and closes that it reads later are no work.
            if (stay.runner == row[1] && row[2] == "makes")
                stay.last = std::max(stay.last, at);
        }
    }
    int doubled = 0;
    int resumed = 0;
    for (const auto &[id, known] : stays) {
        for (const Stay &before : known) {
            for (const Stay &after : known) {
                if (after.begun <= before.begun || after.runner == before.runner)
                    continue;
                ++resumed;
                const double overlap = before.last - after.begun;
                site.note("request %s goes on at %s; %s works on it for %.0f ms more", id.c_str(),
                          after.runner.c_str(), before.runner.c_str(), overlap * 1000);
                doubled += overlap > 0.4;
            }
        }
    }
    site.note("%d streams went on at another engine; at %d the engine before was still at work "
              "400 ms later",
              resumed, doubled);
    site.note("%d of %d streams were whole", streams.served.load(), streams.sent.load());
    site.note("%s",
              doubled > 0 ? "BROKEN: a request ran at two engines for over 400 ms"
                          : "held: no request ran at two engines for over 400 ms");
    return doubled > 0 ? 1 : 0;
}

/// One engine gets into trouble while streams run there: it breaks them off and answers with bytes
/// without end. Other requests are at sound runners all the while.
int engineSendsWithoutEnd(Site &site)
{
    constexpr double Length = 20;
    addSmallSite(site);
    if (!site.startDaemons())
        return 2;
    site.watchMemory();
    const double start = site.now();
    std::vector<std::thread> threads;
    Counts streams;
    Counts plain;
    std::mutex mutex;
    std::vector<std::string> unanswered;
    for (int i = 0; i < 12; ++i) {
        for (const Daemon &daemon : site.daemons) {
            threads.emplace_back([&] { sendStream(site, daemon, 300, streams); });
            sleepFor(0.03);
        }
    }
    for (int i = 0; i < 5; ++i) {
        for (const Daemon &daemon : site.daemons) {
            threads.emplace_back([&, start] {
                KeptConnection kept(daemon.callers);
                while (site.now() - start < Length) {
                    const std::string id = newId();
                    bool wasSent = false;
                    const Result result =
                        kept.call("POST", "/tile/" + id, requestHeaders(id, 2500), 2.5, wasSent);
                    const bool isClosed = wasSent && result.status == 0
                        && (result.end == Reader::End::Closed || result.end == Reader::End::Reset);
                    ++plain.sent;
                    plain.served += result.status == 200 && result.isWhole;
                    if (!wasSent)
                        sleepFor(0.2);
                    if (!isClosed)
                        continue;
                    site.note("unsafe %s at %s: closed without an answer after %.0f ms", id.c_str(),
                              daemon.name.c_str(), result.seconds * 1000);
                    const std::lock_guard<std::mutex> lock(mutex);
                    unanswered.push_back(id);
                }
            });
        }
    }
    sleepFor(4);
    if (hasTrouble()) {
        site.note("%s is in trouble", site.runners[0].id.c_str());
        ::kill(site.runners[0].process, SIGUSR2);
    }
    for (std::thread &thread : threads)
        thread.join();
    site.recordRunners();
    int lost = 0;
    for (const auto &row : site.runnerLines()) {
        const bool isClosed =
            std::find(unanswered.begin(), unanswered.end(), row[3]) != unanswered.end();
        lost += row[2] == "run" && isClosed;
    }
    const auto killed = std::count_if(site.daemons.begin(), site.daemons.end(),
                                      [](const Daemon &daemon) { return daemon.isKilled; });
    site.note("streams: %d of %d served; plain requests: %d of %d", streams.served.load(),
              streams.sent.load(), plain.served.load(), plain.sent.load());
    site.note("%ld of %zu daemons exceeded their memory; %d requests from kept connections were at "
              "sound runners and were closed without an answer",
              long(killed), site.daemons.size(), lost);
    const bool isBroken = lost > 3;
    site.note("%s",
              isBroken ? "BROKEN: more than three requests were lost"
                       : "held: at most three requests were lost");
    return isBroken ? 1 : 0;
}

/// The plain runners are in need and name a limit well above the traffic. All daemons are killed
/// while the store is down for 5 s.
int allKilledInAnOutage(Site &site)
{
    constexpr double Outage = 5;
    constexpr double RestartDelay = 0.5;
    constexpr double RecoverSeconds = 12;
    constexpr double Measured = 30;
    addSmallSite(site, "needy");
    if (!site.startDaemons())
        return 2;
    std::vector<std::thread> threads;
    Counts before;
    Counts between;
    Counts after;
    std::atomic<Counts *> current{&before};
    std::atomic<bool> isOver{false};
    std::thread traffic([&] {
        while (!isOver) {
            for (const Daemon &daemon : site.daemons) {
                Counts &counts = *current;
                threads.emplace_back([&] { sendPlain(site, daemon, true, counts); });
                threads.emplace_back([&] { sendPlain(site, daemon, false, counts); });
            }
            sleepFor(0.5);
        }
    });
    sleepFor(8);
    current = &between;
    if (hasTrouble())
        site.setStoreDown(true);
    std::thread back([&] {
        sleepFor(Outage);
        if (hasTrouble())
            site.setStoreDown(false);
    });
    site.killDaemons(RestartDelay);
    sleepFor(RecoverSeconds);
    site.note("%.0f s since the machines are back", RecoverSeconds);
    current = &after;
    sleepFor(Measured);
    isOver = true;
    traffic.join();
    back.join();
    for (std::thread &thread : threads)
        thread.join();
    site.recordRunners();
    const double shareBefore = double(before.served) / before.sent;
    // Nothing can be said of a recovery without service before.
    if (shareBefore < 0.25)
        return 2;
    const double shareAfter = double(after.served) / after.sent;
    site.note("served before the fault: %d of %d; until %.0f s after it: %d of %d; later: %d of %d",
              before.served.load(), before.sent.load(), RecoverSeconds, between.served.load(),
              between.sent.load(), after.served.load(), after.sent.load());
    const bool isBroken = shareAfter < 0.25;
    site.note("%s",
              isBroken ? "BROKEN: less than a quarter is served after the recovery"
                       : "held: a quarter or more is served after the recovery");
    return isBroken ? 1 : 0;
}

/// The settings files change; later all daemons are stopped and started in turn.
int settingsChange(Site &site)
{
    addSmallSite(site);
    if (!site.startDaemons())
        return 2;
    if (hasTrouble())
        site.graceSeconds = "7.5";
    site.changeSettings();
    sleepFor(3);
    Counts before;
    for (const Daemon &daemon : site.daemons) {
        for (int i = 0; i < 10; ++i)
            sendPlain(site, daemon, true, before);
    }
    if (before.served == 0)
        return 2;
    int notStarted = 0;
    for (Daemon &daemon : site.daemons)
        notStarted += site.restartDaemon(daemon) ? 0 : 1;
    sleepFor(12);
    Counts after;
    for (const Daemon &daemon : site.daemons) {
        for (int i = 0; i < 10; ++i)
            sendPlain(site, daemon, true, after);
    }
    site.recordRunners();
    site.note("%d of %zu daemons do not start; served before: %d of %d, later: %d of %d",
              notStarted, site.daemons.size(), before.served.load(), before.sent.load(),
              after.served.load(), after.sent.load());
    site.note("%s",
              notStarted > 0 ? "BROKEN: a program does not start" : "held: all programs start");
    return notStarted > 0 ? 1 : 0;
}

int play(Site &site, const std::string &mode)
{
    if (mode == "store-down-twice")
        return storeDownTwice(site);
    if (mode == "engine-sends-without-end")
        return engineSendsWithoutEnd(site);
    if (mode == "all-killed-in-an-outage")
        return allKilledInAnOutage(site);
    if (mode == "settings-change")
        return settingsChange(site);
    if (mode == "engine-falls-silent")
        return engineFallsSilent(site);
    return 2;
}

} // namespace

int main(int argc, char *argv[])
{
    std::signal(SIGPIPE, SIG_IGN);
    const std::string mode = argc > 1 ? argv[1] : "";
    if (mode == "runner" && argc == 6) {
        FILE *log = std::fopen(argv[5], "w");
        return Runner(argv[2], argv[3], log).run(argv[4]);
    }
    if (argc != 4)
        return 2;
    // Its threads use it until the process ends.
    Site &site = *new Site(argv[2], argv[3], argv[0]);
    if (!site.canRecord())
        return 2;
    std::thread([] {
        sleepFor(MaxSeconds);
        // The processes that were started end with this one.
        std::_Exit(2);
    }).detach();
    const int result = play(site, mode);
    site.endProcesses();
    std::_Exit(result);
}
