// A runner that goes on with a request after its connection was closed announces that it leaves.
// The system lets the generations continue at the holders of their backups; the rule TWICE allows
// the leaving runner 400 ms to stop. Arguments: PROGRAM FOLDER RECORD
#include "engine.h"

using namespace review;

int main(int argc, char *argv[])
{
    if (argc != 4)
        return 2;
    nowMs();
    std::signal(SIGPIPE, SIG_IGN);
    Record record(argv[3]);
    Store store;
    store.start();
    EngineSite site{store, record, "llm", {}, {}, {}, {}, {}};
    const std::vector<std::string> zones{"hall-a", "hall-b", "hall-c"};
    store.put("op/config",
              configuration(streamRoute("/draft/", "llm", 39000, 1800),
                            engineService("llm", site.figures)));
    // One of six does not drop a request when its connection closes.
    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 0; i < 6; ++i)
        engines.push_back(std::make_unique<Engine>(site, "i-runner" + std::to_string(i),
                                                   zones[std::size_t(i) % 3], i != 0));
    for (const auto &engine : engines)
        engine->announce();
    std::atomic<bool> isOver{false};
    std::thread([&] {
        while (!isOver) {
            sleepMs(1200);
            for (const auto &engine : engines) {
                if (!engine->isGone())
                    engine->announce();
            }
        }
    }).detach();
    std::vector<std::unique_ptr<Daemon>> daemons;
    for (int i = 0; i < 3; ++i)
        daemons.push_back(std::make_unique<Daemon>(argv[1], argv[2], "front-" + std::to_string(i),
                                                   zones[std::size_t(i)], store.port()));
    for (const auto &daemon : daemons) {
        if (!daemon->waitReady(15000)) {
            record.line("a process did not become ready");
            return 2;
        }
    }
    sleepMs(5000);
    record.line(hasTrouble() ? "a runner will leave" : "no runner will leave");
    std::mutex mutex;
    std::map<std::string, ClientResult> results;
    std::vector<std::thread> clients;
    const auto send = [&](int number) {
        char id[32];
        std::snprintf(id, sizeof(id), "9c41d07b%08x", number);
        clients.emplace_back([&, id = std::string(id), number] {
            const ClientResult result =
                sendGeneration(daemons[std::size_t(number) % 3]->callers, "/draft/1", id,
                               2000 + 50 * (number % 10), 600, 39000, record);
            const std::lock_guard<std::mutex> lock(mutex);
            results[id] = result;
        });
    };
    // About three new generations a second, each of some six seconds.
    for (int number = 0; number < 36; ++number) {
        send(number);
        sleepMs(330);
        if (number == 20 && hasTrouble())
            engines[0]->leave(6000);
    }
    for (std::thread &client : clients)
        client.join();
    isOver = true;
    sleepMs(1500);
    int whole = 0;
    for (const auto &[id, result] : results)
        whole += result.status == 200 && result.isWhole && result.isOrdered ? 1 : 0;
    const std::set<std::string> twice = site.ranBeside();
    for (const std::string &id : twice)
        record.line("TWICE " + id + ": a runner worked on it 400 ms after it went on elsewhere");
    record.line("SUM " + std::to_string(results.size()) + " requests, " + std::to_string(whole)
                + " answered whole, " + std::to_string(twice.size()) + " ran twice");
    daemons.clear();
    std::fflush(nullptr);
    ::_exit(twice.empty() ? (whole == 0 ? 2 : 0) : 1);
}
