// The runners of a service read slowly while clients send long requests. The platform kills a
// process whose memory exceeds the limit of its settings (110 MB on a small site) and starts it
// again. Arguments: PROGRAM FOLDER RECORD
#include "platform.h"

#include <set>

using namespace review;

namespace {

constexpr long MemoryLimit = 110L * 1000 * 1000;
/// Below the limit of the configuration, 4,194,304.
constexpr std::size_t BodyBytes = 4000000;
constexpr int UploadsPerDaemon = 40;
constexpr double UploadIntervalMs = 250;
constexpr double SlowBytesPerMs = 300;

/// A runner of a plain service. It has run a request once it has read it.
class PlainRunner
{
public:
    PlainRunner(Record &record, std::string id)
        : id(std::move(id))
        , m_record(record)
    {
        m_listener.start([this](Connection &connection) { serve(connection); }, 65536);
    }

    std::string entry() const
    {
        return "{\"service\":\"desk\",\"address\":\"127.0.0.1:" + std::to_string(m_listener.port)
            + "\",\"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
              "\"coldLeftMs\":0,\"seqNo\":1}";
    }

    bool wasPassedOn(const std::string &request)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_passedOn.count(request) > 0;
    }

    const std::string id;
    std::atomic<bool> readsSlowly{false};

private:
    void serve(Connection &connection)
    {
        for (;;) {
            Message request;
            if (!connection.readHead(request, nowMs() + 5000))
                return;
            const std::string requestId = request.header("cranberryquay-request-id");
            if (!requestId.empty()) {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_passedOn.insert(requestId);
            }
            auto left = std::size_t(std::atol(request.header("content-length").c_str()));
            while (left > 0) {
                if (connection.buffer.empty() && !connection.fill(nowMs() + 20000, 16384))
                    return;
                const std::size_t count = std::min(left, connection.buffer.size());
                connection.buffer.erase(0, count);
                left -= count;
                if (readsSlowly)
                    sleepMs(double(count) / SlowBytesPerMs);
            }
            sleepMs(30);
            m_record.line("RUN " + requestId + " at " + id);
            if (!connection.write(response(200, "done",
                                           "Cranberryquay-Request-Id: " + requestId
                                               + "\r\nCranberryquay-Response-Seal: seal-" + id
                                               + "\r\nKeep-Alive: timeout=5\r\n")))
                return;
        }
    }

    Record &m_record;
    Listener m_listener;
    std::mutex m_mutex;
    std::set<std::string> m_passedOn;
};

/// Sends a request on a connection that is kept; 0 if the connection ended without an answer.
int post(Connection &connection, const std::string &id, std::size_t bytes)
{
    Message answer;
    std::string body;
    const std::string head = "POST /order/1 HTTP/1.1\r\nHost: desk.example\r\n"
                             "Cranberryquay-Request-Id: "
        + id
        + "\r\nCranberryquay-Deadline-Ms: 39000\r\nAuthorization: Bearer key-of-house\r\n"
          "Content-Length: "
        + std::to_string(bytes) + "\r\n\r\n";
    const std::string content = id + std::string(bytes - id.size(), 'x');
    if (!connection.write(head + content) || !connection.readHead(answer, nowMs() + 40000))
        return 0;
    const auto length = std::size_t(std::atol(answer.header("content-length").c_str()));
    return connection.readBytes(length, body, nowMs() + 5000) ? answer.status() : 0;
}

} // namespace

int main(int argc, char *argv[])
{
    if (argc != 4)
        return 2;
    nowMs();
    std::signal(SIGPIPE, SIG_IGN);
    Record record(argv[3]);
    Store store;
    store.start();
    store.put("op/config",
              "{\"version\":7,\"routes\":[{\"name\":\"order\",\"host\":\"desk.example\","
              "\"prefix\":\"/order/\",\"kind\":\"unsafe\",\"timeoutMs\":39000,\"aimMs\":1800,"
              "\"priority\":0,\"service\":\"desk\",\"maxAttempts\":1,\"anonymous\":false}],"
              "\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":272,"
              "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
              "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
              "\"tenants\":[{\"name\":\"house\",\"apiKeys\":[\"key-of-house\"]}]}");
    std::vector<std::unique_ptr<PlainRunner>> runners;
    for (int i = 0; i < 6; ++i) {
        runners.push_back(std::make_unique<PlainRunner>(record, "i-desk" + std::to_string(i)));
        store.put("servers/" + runners.back()->id, runners.back()->entry());
    }
    std::vector<std::unique_ptr<Daemon>> daemons;
    for (int i = 0; i < 2; ++i)
        daemons.push_back(std::make_unique<Daemon>(argv[1], argv[2], "front-" + std::to_string(i),
                                                   "hall-a", store.port()));
    for (const auto &daemon : daemons) {
        if (!daemon->waitReady(15000)) {
            record.line("a process did not become ready");
            return 2;
        }
    }
    sleepMs(4000);
    std::atomic<bool> isOver{false};
    std::atomic<long> peak{0};
    std::atomic<int> kills{0};
    std::thread platform([&] {
        while (!isOver) {
            for (const auto &daemon : daemons) {
                const long memory = daemon->memory();
                peak = std::max(peak.load(), memory);
                if (memory <= MemoryLimit)
                    continue;
                record.line("KILLED a process with " + std::to_string(memory / 1000000) + " MB");
                ++kills;
                daemon->end(SIGKILL);
                sleepMs(500);
                daemon->startAgain();
            }
            sleepMs(10);
        }
    });
    for (const auto &runner : runners)
        runner->readsSlowly = hasTrouble();
    std::mutex mutex;
    std::map<std::string, int> answers;
    std::vector<std::thread> clients;
    for (int number = 0; number < UploadsPerDaemon; ++number) {
        for (std::size_t at = 0; at < daemons.size(); ++at) {
            clients.emplace_back([&, number, at] {
                Connection connection(connectTo(daemons[at]->callers));
                char id[32];
                // The first request shows that the connection is kept.
                std::snprintf(id, sizeof(id), "0a%06x%08x", unsigned(at), number);
                if (post(connection, id, 600) != 200)
                    return;
                std::snprintf(id, sizeof(id), "0b%06x%08x", unsigned(at), number);
                record.line(std::string("SENT ") + id);
                const int status = post(connection, id, BodyBytes);
                record.line(std::string("ANSWER ") + id + " status " + std::to_string(status));
                const std::lock_guard<std::mutex> lock(mutex);
                answers[id] = status;
            });
        }
        sleepMs(UploadIntervalMs);
    }
    for (std::thread &client : clients)
        client.join();
    isOver = true;
    platform.join();
    int lost = 0;
    int whole = 0;
    for (const auto &[id, status] : answers) {
        bool wasPassedOn = false;
        for (const auto &runner : runners)
            wasPassedOn = wasPassedOn || runner->wasPassedOn(id);
        whole += status == 200 ? 1 : 0;
        if (status == 0 && wasPassedOn) {
            ++lost;
            record.line("LOST " + id + ": passed on, and the connection ended without an answer");
        }
    }
    record.line("SUM " + std::to_string(answers.size()) + " long requests, " + std::to_string(whole)
                + " answered, " + std::to_string(lost) + " lost, peak memory "
                + std::to_string(peak / 1000000) + " MB, " + std::to_string(kills)
                + " kills by the platform");
    daemons.clear();
    std::fflush(nullptr);
    // The rule counts more than three.
    ::_exit(lost > 3 ? 1 : whole == 0 ? 2 : 0);
}
