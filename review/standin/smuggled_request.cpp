// A client sends requests whose bodies look like further requests, with a Transfer-Encoding that
// does not end in chunked. Without the disruption the same bodies are sent with their length.
// Arguments: PROGRAM FOLDER RECORD
#include "platform.h"

using namespace review;

namespace {

constexpr int Requests = 30;

/// What a runner of the plain service ran.
struct Ran {
    std::string id;
    std::string startLine;
    std::string body;
};

class PlainRunner
{
public:
    PlainRunner(Record &record, std::string name)
        : id(std::move(name))
        , m_record(record)
    {
        m_listener.start([this](Connection &connection) { serve(connection); });
    }

    std::string entry() const
    {
        return "{\"service\":\"desk\",\"address\":\"127.0.0.1:" + std::to_string(m_listener.port)
            + "\",\"zone\":\"hall-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
              "\"coldLeftMs\":0,\"seqNo\":1}";
    }

    std::vector<Ran> ran()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_ran;
    }

    const std::string id;

private:
    void serve(Connection &connection)
    {
        for (;;) {
            Message request;
            if (!connection.readHead(request, nowMs() + 5000))
                return;
            const auto length = std::size_t(std::atol(request.header("content-length").c_str()));
            if (!connection.readBytes(length, request.body, nowMs() + 5000))
                return;
            const std::string requestId = request.header("cranberryquay-request-id");
            if (!requestId.empty()) {
                const std::lock_guard<std::mutex> lock(m_mutex);
                m_ran.push_back({requestId, request.startLine, request.body});
                m_record.line("RUN " + requestId + " at " + id + ": " + request.startLine
                              + ", body of " + std::to_string(request.body.size()) + " bytes");
            }
            sleepMs(5);
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
    std::vector<Ran> m_ran;
};

std::string head(const std::string &path, const std::string &id)
{
    return "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nCranberryquay-Request-Id: " + id
        + "\r\nCranberryquay-Deadline-Ms: 2500\r\nAuthorization: Bearer key-of-house\r\n";
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
              "\"prefix\":\"/order/\",\"kind\":\"unsafe\",\"timeoutMs\":1200,\"aimMs\":150,"
              "\"priority\":0,\"service\":\"desk\",\"maxAttempts\":1,\"anonymous\":false}],"
              "\"services\":[{\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":96,"
              "\"protocol\":\"h1\",\"tls\":false}],\"limits\":{\"maxHeaderBytes\":16384,"
              "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
              "\"tenants\":[{\"name\":\"house\",\"apiKeys\":[\"key-of-house\"]}]}");
    std::vector<std::unique_ptr<PlainRunner>> runners;
    for (int i = 0; i < 3; ++i) {
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
    const std::vector<std::string> codings{"gzip", "chunked, identity", "identity"};
    std::map<std::string, std::string> sent;
    std::map<int, int> statuses;
    for (int number = 0; number < Requests; ++number) {
        char id[32];
        std::snprintf(id, sizeof(id), "7a31d07b%08x", number);
        char inner[32];
        std::snprintf(inner, sizeof(inner), "ffffffff%08x", number);
        const std::string body =
            head("/order/inside", inner) + "Content-Length: 6\r\n\r\n" + "inside";
        const std::string framing = hasTrouble()
            ? "Transfer-Encoding: " + codings[std::size_t(number) % codings.size()] + "\r\n"
            : "Content-Length: " + std::to_string(body.size()) + "\r\n";
        sent[id] = body;
        record.line(std::string("SENT ") + id + ", " + framing.substr(0, framing.size() - 2)
                    + ", body of " + std::to_string(body.size()) + " bytes");
        Connection connection(connectTo(daemons[std::size_t(number) % 2]->callers));
        connection.write(head("/order/1", id) + framing + "\r\n" + body);
        // All answers that come within half a second, or until the connection ends.
        const double until = nowMs() + 500;
        Message answer;
        std::string content;
        while (connection.readHead(answer, until)) {
            connection.readBytes(std::size_t(std::atol(answer.header("content-length").c_str())),
                                 content, until);
            ++statuses[answer.status()];
            record.line(std::string("ANSWER on the connection of ") + id + ": status "
                        + std::to_string(answer.status()));
        }
    }
    int unasked = 0;
    int changed = 0;
    int whole = 0;
    for (const auto &runner : runners) {
        for (const Ran &ran : runner->ran()) {
            const auto known = sent.find(ran.id);
            if (known == sent.end()) {
                ++unasked;
                record.line("UNASKED " + ran.id + " ran, which was the body of another request");
            } else if (known->second != ran.body) {
                ++changed;
                record.line("UNASKED " + ran.id + " ran with another body than was sent");
            } else {
                ++whole;
            }
        }
    }
    std::string answers;
    for (const auto &[status, count] : statuses)
        answers += ", " + std::to_string(count) + " answers " + std::to_string(status);
    record.line("SUM " + std::to_string(Requests) + " requests, " + std::to_string(whole)
                + " ran as sent, " + std::to_string(changed) + " with another body, "
                + std::to_string(unasked) + " ran that were the body of another" + answers);
    daemons.clear();
    std::fflush(nullptr);
    ::_exit(unasked + changed > 0 ? 1 : whole + statuses[400] + statuses[501] == 0 ? 2 : 0);
}
