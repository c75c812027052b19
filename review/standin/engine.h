// Model runners as PROTOCOL.md describes them, with the figures of the small sites: a batch of 24,
// 34,219 tokens of memory, 14 prompt tokens read in a ms, four tokens an event.
#pragma once

#include "platform.h"

#include <set>

namespace review {

struct EngineFigures {
    int slots = 24;
    long memory = 34219;
    double stepMs = 7;
    double stepMsPerRun = 0.12;
    double promptTokensPerMs = 14;
    int chunk = 112;
    int tokensPerEvent = 4;
    double bytesPerToken = 163840;
    double linkMbps = 24000;
};

/// What the runners of a site know of each other.
class Engine;
struct EngineSite {
    Store &store;
    Record &record;
    std::string service;
    EngineFigures figures;
    std::mutex mutex;
    std::map<int, Engine *> byPort;
    /// One stay of a run at a runner: from its first token there to its last.
    struct Span {
        std::string request;
        std::string engine;
        bool isContinued = false;
        double from = 0;
        double to = 0;
    };
    std::vector<std::shared_ptr<Span>> spans;
    std::map<Engine *, double> linkFreeAt;

    std::shared_ptr<Span> addSpan(const std::string &request, const std::string &engine,
                                  bool isContinued)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        spans.push_back(
            std::make_shared<Span>(Span{request, engine, isContinued, nowMs(), nowMs()}));
        return spans.back();
    }

    /// Requests that ran anew more than once.
    std::set<std::string> ranAnewTwice()
    {
        const std::lock_guard<std::mutex> lock(mutex);
        std::map<std::string, int> anew;
        std::set<std::string> twice;
        for (const auto &span : spans) {
            if (!span->isContinued && ++anew[span->request] > 1)
                twice.insert(span->request);
        }
        return twice;
    }

    /// Requests that a runner still worked on 400 ms after they had gone on at another one.
    std::set<std::string> ranBeside()
    {
        const std::lock_guard<std::mutex> lock(mutex);
        std::map<std::string, std::vector<std::shared_ptr<Span>>> byRequest;
        for (const auto &span : spans)
            byRequest[span->request].push_back(span);
        std::set<std::string> twice;
        for (const auto &[request, stays] : byRequest) {
            for (const auto &stay : stays) {
                for (const auto &before : stays) {
                    if (stay->isContinued && before->from < stay->from
                        && before->engine != stay->engine && before->to > stay->from + 400)
                        twice.insert(request);
                }
            }
        }
        return twice;
    }

    /// Moves run one after the other on the links of both runners. Returns when this one ends.
    double reserveLinks(Engine *source, Engine *destination, double copyMs)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        double &from = linkFreeAt[source];
        double &to = linkFreeAt[destination];
        const double end = std::max({nowMs(), from, to}) + copyMs;
        from = to = end;
        return end;
    }

    bool hasRun(const std::string &request)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        for (const auto &span : spans) {
            if (span->request == request)
                return true;
        }
        return false;
    }

    Engine *at(const std::string &address)
    {
        const std::lock_guard<std::mutex> lock(mutex);
        const auto found = byPort.find(std::atoi(address.substr(address.find(':') + 1).c_str()));
        return found == byPort.end() ? nullptr : found->second;
    }
};

/// A model runner. Each run belongs to a connection; the runner steps all runs together.
class Engine
{
public:
    Engine(EngineSite &site, std::string id, std::string zone, bool dropsOnClose)
        : m_site(site)
        , id(std::move(id))
        , zone(std::move(zone))
        , m_dropsOnClose(dropsOnClose)
    {
        m_listener.start([this](Connection &connection) { serve(connection); });
        {
            const std::lock_guard<std::mutex> lock(site.mutex);
            site.byPort[m_listener.port] = this;
        }
        announcedPort = m_listener.port;
        std::thread([this] { generate(); }).detach();
    }

    int port() const { return m_listener.port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(port()); }

    /// Writes its entry; called again as its heartbeat.
    void announce()
    {
        const std::string state = m_isLeaving ? "draining" : "ready";
        m_site.store.put("servers/" + id,
                         "{\"service\":\"" + m_site.service
                             + "\",\"address\":\"127.0.0.1:" + std::to_string(announcedPort)
                             + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":"
                             + std::to_string(m_site.figures.slots) + ",\"state\":\"" + state
                             + "\",\"coldLeftMs\":0,\"stage\":\"both\",\"models\":[{\"name\":\"m\","
                               "\"version\":1,\"adapters\":[]}],\"seqNo\":"
                             + std::to_string(++m_sequence) + "}");
    }

    /// Reports that it leaves; it goes on serving for @p stayMs and is then gone.
    void leave(double stayMs)
    {
        m_isLeaving = true;
        m_leavesAt = nowMs() + stayMs;
        m_site.record.line("LEAVING " + id + ", stays " + std::to_string(int(stayMs)) + " ms");
        announce();
        std::thread([this, stayMs] {
            sleepMs(stayMs);
            m_site.store.remove("servers/" + id);
            end();
        }).detach();
    }

    /// Ends at once: it accepts no connection, and its runs are lost.
    void end()
    {
        m_listener.stop();
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isGone = true;
        m_site.record.line("GONE " + id);
        m_stepped.notify_all();
    }

    bool isGone() const { return m_isGone; }
    bool isLeaving() const { return m_isLeaving; }

    int running()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return int(m_runs.size());
    }

    EngineSite &m_site;
    const std::string id;
    const std::string zone;
    /// Port in its entry: that of a proxy, if there is one.
    int announcedPort = 0;

private:
    struct Run {
        std::string request;
        long prompt = 0;
        long unread = 0;
        long made = 0;
        long most = 0;
        long sentEvents = 0;
        bool isStopped = false;
        bool isCopying = false;
        bool isDone = false;
        bool isClosed = false;
        std::shared_ptr<EngineSite::Span> span;
        long copied = 0;
        std::string handle;
        Engine *backup = nullptr;

        long held() const { return prompt - unread + made; }
    };
    struct Copy {
        std::string request;
        long made = 0;
        long tokens = 0;
        bool isBackup = false;
    };

    long events(const Run &run) const
    {
        const int stride = m_site.figures.tokensPerEvent;
        return run.made >= run.most ? (run.most + stride - 1) / stride : run.made / stride;
    }

    /// Precondition: the mutex is held.
    long used() const
    {
        long tokens = 0;
        for (const auto &run : m_runs)
            tokens += run->prompt + run->made;
        for (const auto &[handle, copy] : m_copies)
            tokens += copy.tokens;
        for (const auto &[hold, tokensHeld] : m_holds)
            tokens += tokensHeld;
        return tokens;
    }

    void generate()
    {
        const EngineFigures &figures = m_site.figures;
        double backupAt = nowMs();
        while (!m_isGone) {
            double ms = 1;
            std::vector<std::shared_ptr<Run>> stepped;
            {
                const std::lock_guard<std::mutex> lock(m_mutex);
                for (const auto &run : m_runs) {
                    if (run->unread == 0 && !run->isStopped && !run->isDone)
                        stepped.push_back(run);
                }
                if (!stepped.empty())
                    ms = figures.stepMs + figures.stepMsPerRun * double(stepped.size());
                // Prompts are read in chunks between the tokens of other requests.
                for (const auto &run : m_runs) {
                    if (run->unread == 0 || run->isStopped)
                        continue;
                    const long count = std::min<long>(run->unread, figures.chunk);
                    run->unread -= count;
                    ms += double(count) / figures.promptTokensPerMs;
                    break;
                }
            }
            sleepMs(ms);
            const std::lock_guard<std::mutex> lock(m_mutex);
            if (m_isGone)
                break;
            for (const auto &run : stepped) {
                if (run->isStopped)
                    continue;
                if (!run->span) {
                    run->span = m_site.addSpan(run->request, id, run->made > 0);
                    m_site.record.line("RUN " + run->request + " at " + id
                                       + (run->made > 0
                                              ? " goes on after token " + std::to_string(run->made)
                                              : std::string()));
                }
                ++run->made;
                run->span->to = nowMs();
                if (run->isClosed)
                    m_site.record.line("WORK " + run->request + " at " + id
                                       + " without a connection, token "
                                       + std::to_string(run->made));
                if (run->made >= run->most) {
                    run->isDone = true;
                    m_site.record.line("DONE " + run->request + " at " + id);
                }
            }
            m_runs.remove_if([](const auto &run) { return run->isDone || run->isStopped; });
            if (nowMs() - backupAt >= 200) {
                backupAt = nowMs();
                for (const auto &run : m_runs)
                    backUp(*run);
            }
            m_stepped.notify_all();
        }
    }

    /// Sends what is new of a run to the runner that keeps its backup. Precondition: the mutex is
    /// held.
    void backUp(const Run &run)
    {
        if (!run.backup || run.backup->m_isGone || run.unread > 0)
            return;
        const std::unique_lock<std::mutex> other(run.backup->m_mutex, std::try_to_lock);
        if (!other.owns_lock() || run.backup->used() + run.held() > m_site.figures.memory)
            return;
        run.backup->m_copies[run.request] = {run.request, run.made, run.held(), true};
    }

    void serve(Connection &connection)
    {
        while (!m_isGone) {
            Message request;
            if (!connection.readHead(request, nowMs() + 5000))
                return;
            const auto length = std::size_t(std::atol(request.header("content-length").c_str()));
            if (!connection.readBytes(length, request.body, nowMs() + 5000) || m_isGone)
                return;
            if (!answer(connection, request))
                return;
        }
        connection.reset();
    }

    std::string echo(const Message &request) const
    {
        const std::string requestId = request.header("cranberryquay-request-id");
        return requestId.empty() ? std::string()
                                 : "Cranberryquay-Request-Id: " + requestId + "\r\n";
    }

    /// Returns whether the connection is kept.
    bool answer(Connection &connection, const Message &request)
    {
        const std::string path = request.target();
        const std::string json = "Content-Type: application/json\r\nKeep-Alive: timeout=5\r\n";
        if (path == "/v1/report")
            return connection.write(response(200, report(), json));
        const std::string expected = request.header("cranberryquay-expect-instance");
        if (!expected.empty() && expected != id)
            return connection.write(
                response(421, "", echo(request) + "Cranberryquay-Instance-Id: " + id + "\r\n"));
        if (path == "/v1/hold-take")
            return hold(connection, request, json);
        if (path.rfind("/v1/hold-drop/", 0) == 0) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_holds.erase(path.substr(14));
            return connection.write(response(200, "{}", json));
        }
        if (path == "/v1/kv-move")
            return move(connection, request, json);
        if (path.rfind("/v1/kv-handle/", 0) == 0) {
            freeCopy(path.substr(14));
            return connection.write(response(200, "{}", json));
        }
        return run(connection, request);
    }

    std::string report()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        std::ostringstream json;
        json << "{\"stage\":\"both\",\"busy\":false,\"seqNo\":1,\"queued\":0,\"running\":"
             << m_runs.size() << ",\"kvUsed\":" << used()
             << ",\"kvTotal\":" << m_site.figures.memory << ",\"handles\":" << m_copies.size()
             << ",\"state\":\"" << (m_isLeaving ? "draining" : "ready") << '"';
        if (m_isLeaving)
            json << ",\"leaves_ms\":" << std::max(0L, long(m_leavesAt - nowMs()));
        json << '}';
        return json.str();
    }

    bool hold(Connection &connection, const Message &request, const std::string &json)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const long tokens = std::atol(jsonMember(request.body, "tokens").c_str());
        const bool hasRoom = used() + tokens <= m_site.figures.memory
            && int(m_runs.size() + m_holds.size()) < m_site.figures.slots;
        if (!hasRoom)
            return connection.write(response(503, "{}", json));
        const std::string hold = "h" + std::to_string(++m_lastHold);
        m_holds[hold] = tokens;
        return connection.write(response(200, "{\"hold\":\"" + hold + "\"}", json));
    }

    void freeCopy(const std::string &handle)
    {
        Engine *holder = nullptr;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_copies.erase(handle);
            holder = m_destinations[handle];
        }
        if (!holder)
            return;
        const std::lock_guard<std::mutex> lock(holder->m_mutex);
        holder->m_copies.erase(handle);
    }

    bool move(Connection &connection, const Message &request, const std::string &json)
    {
        Engine *to = m_site.at(jsonMember(request.body, "target"));
        const bool isLast = jsonMember(request.body, "last") == "true";
        std::shared_ptr<Run> run;
        long tokens = 0;
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            for (const auto &known : m_runs) {
                // A request starts to run with its first token.
                if (known->request == jsonMember(request.body, "id") && known->made > 0)
                    run = known;
            }
            if (!run)
                return connection.write(response(404, "{}", json));
            if (run->isCopying)
                return connection.write(response(409, "{}", json));
            run->isCopying = true;
            if (run->handle.empty())
                run->handle = id + "-" + std::to_string(++m_lastCopy);
            if (isLast) {
                run->isStopped = true;
                m_copies[run->handle] = {run->request, run->made, run->held(), false};
                m_site.record.line("STOP " + run->request + " at " + id + " after token "
                                   + std::to_string(run->made));
                m_stepped.notify_all();
            }
            tokens = run->held();
        }
        const bool isFar = to && to->zone != zone;
        const EngineFigures &figures = m_site.figures;
        const double copyMs = 0.3
            + (isFar ? 2 : 1) * double(tokens - run->copied) * figures.bytesPerToken * 8
                / (figures.linkMbps * 1000);
        sleepMs(m_site.reserveLinks(this, to, copyMs) - nowMs());
        const bool isCopied = to && !to->m_isGone && to->receive(run->handle, *run, tokens);
        const std::lock_guard<std::mutex> lock(m_mutex);
        run->isCopying = false;
        const std::string handle = "\"handle\":\"" + run->handle + '"';
        if (!isCopied)
            return connection.write(response(503, isLast ? "{" + handle + "}" : "{}", json));
        run->copied = tokens;
        m_destinations[run->handle] = to;
        return connection.write(response(
            200, "{" + handle + ",\"created\":" + std::to_string(events(*run)) + "}", json));
    }

    bool receive(const std::string &handle, const Run &run, long tokens)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const auto known = m_copies.find(handle);
        const long before = known == m_copies.end() ? 0 : known->second.tokens;
        if (used() - before + tokens > m_site.figures.memory)
            return false;
        m_copies[handle] = {run.request, tokens - run.prompt, tokens, false};
        return true;
    }

    /// Removes the copy that @p request continues from; unset request if there is none.
    Copy takeCopy(const std::string &from, const std::string &requestId)
    {
        const std::string handle = from.substr(from.find('/') + 1);
        const auto found = m_copies.find(handle);
        if (found == m_copies.end() || found->second.request != requestId)
            return {};
        const Copy copy = found->second;
        m_copies.erase(found);
        return copy;
    }

    bool run(Connection &connection, const Message &request)
    {
        const auto run = std::make_shared<Run>();
        const std::string from = request.header("kv-from");
        const std::string usage = request.header("cranberryquay-token-usage");
        run->request = request.header("cranberryquay-request-id");
        run->prompt = run->unread = std::atol(usage.c_str());
        run->most = std::atol(usage.substr(usage.find(',') + 1).c_str());
        const std::string backup = request.header("cranberryquay-kv-backup");
        run->backup = backup.empty() ? nullptr : m_site.at(backup);
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_holds.erase(request.header("cranberryquay-hold"));
            const Copy copy = from.empty() ? Copy() : takeCopy(from, run->request);
            const bool isFull = int(m_runs.size()) >= m_site.figures.slots
                || used() + run->prompt > m_site.figures.memory;
            if (!from.empty() ? copy.request.empty() : isFull)
                return connection.write(
                    response(503, "", echo(request) + "Cranberryquay-Not-Executed: 1\r\n"));
            if (!from.empty()) {
                run->made = copy.made;
                run->unread = 0;
            }
            run->sentEvents = std::atol(request.header("last-event-id").c_str());
            m_runs.push_back(run);
        }
        m_site.record.line("ARRIVE " + run->request + " at " + id
                           + (from.empty() ? "" : ", continues from " + from));
        return stream(connection, request, run);
    }

    bool stream(Connection &connection, const Message &request, const std::shared_ptr<Run> &run)
    {
        bool isOpen = true;
        bool hasHead = false;
        std::unique_lock<std::mutex> lock(m_mutex);
        for (;;) {
            m_stepped.wait_for(lock, std::chrono::milliseconds(20));
            if (m_isGone) {
                connection.reset();
                return false;
            }
            const long ready = events(*run);
            const bool isDone = run->isDone;
            const bool isStopped = run->isStopped;
            std::string data;
            for (long event = run->sentEvents + 1; event <= ready; ++event) {
                const std::string text = "id: " + std::to_string(event) + "\ndata: " + run->request
                    + " event " + std::to_string(event) + "\n\n";
                char size[16];
                std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
                data += size + text + "\r\n";
            }
            run->sentEvents = std::max(run->sentEvents, ready);
            if (!data.empty() && !hasHead)
                data = "HTTP/1.1 200 OK\r\n" + echo(request) + "Cranberryquay-Response-Seal: seal-"
                    + id
                    + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                      "Keep-Alive: timeout=5\r\n\r\n"
                    + data;
            hasHead = hasHead || !data.empty();
            if (isDone)
                data += "0\r\n\r\n";
            lock.unlock();
            if (isOpen
                && (connection.peerHasClosed() || (!data.empty() && !connection.write(data)))) {
                isOpen = false;
                m_site.record.line("CLOSED connection of " + run->request + " at " + id);
            }
            lock.lock();
            run->isClosed = !isOpen;
            if (!isOpen && m_dropsOnClose && !run->isDone && !run->isStopped) {
                run->isStopped = true;
                m_site.record.line("DROP " + run->request + " at " + id);
            }
            if (isDone || isStopped || run->isStopped)
                return isOpen && isDone;
        }
    }

    const bool m_dropsOnClose;
    Listener m_listener;
    std::mutex m_mutex;
    std::condition_variable m_stepped;
    std::atomic<bool> m_isGone{false};
    std::atomic<bool> m_isLeaving{false};
    std::atomic<double> m_leavesAt{0};
    std::atomic<long> m_sequence{0};
    struct RunList : std::vector<std::shared_ptr<Run>> {
        template <typename Predicate>
        void remove_if(Predicate predicate)
        {
            erase(std::remove_if(begin(), end(), predicate), end());
        }
    };
    RunList m_runs;
    std::map<std::string, Copy> m_copies;
    std::map<std::string, Engine *> m_destinations;
    std::map<std::string, long> m_holds;
    long m_lastHold = 0;
    long m_lastCopy = 0;
};

/// How a client's request ended.
struct ClientResult {
    int status = 0;
    bool isWhole = false;
    long events = 0;
    bool isOrdered = true;
};

inline std::string configuration(const std::string &routes, const std::string &services)
{
    return "{\"version\":7,\"routes\":[" + routes + "],\"services\":[" + services
        + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,"
          "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
          "\"tenants\":[{\"name\":\"house\",\"apiKeys\":[\"key-of-house\"]}]}";
}

inline std::string streamRoute(const std::string &prefix, const std::string &service, int timeoutMs,
                               int aimMs)
{
    return "{\"name\":\"r" + prefix.substr(1, prefix.size() - 2)
        + "\",\"host\":\"desk.example\",\"prefix\":\"" + prefix
        + "\",\"kind\":\"streaming\",\"timeoutMs\":" + std::to_string(timeoutMs)
        + ",\"aimMs\":" + std::to_string(aimMs) + ",\"priority\":0,\"service\":\"" + service
        + "\",\"maxAttempts\":1,\"anonymous\":false,\"sessionAffinity\":true,"
          "\"streamResume\":false,\"gapTargetMs\":180}";
}

inline std::string engineService(const std::string &name, const EngineFigures &figures)
{
    return "{\"name\":\"" + name
        + "\",\"healthPath\":\"/health\",\"maxConns\":272,"
          "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":"
        + std::to_string(figures.slots) + ",\"kvCapacityTokens\":" + std::to_string(figures.memory)
        + ",\"kvTokenBytes\":163840,\"linkMbps\":24000.0,\"moves\":true,\"backups\":true,"
          "\"stride\":4,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleS\":5.0,"
          "\"models\":[{\"name\":\"m\"}]}}";
}

/// Sends one generation over a new connection and reads its answer.
inline ClientResult sendGeneration(int port, const std::string &path, const std::string &requestId,
                                   long prompt, long most, int deadlineMs, Record &record)
{
    ClientResult result;
    record.line("SENT " + requestId + " prompt " + std::to_string(prompt) + " most "
                + std::to_string(most));
    const int descriptor = connectTo(port);
    if (descriptor >= 0) {
        Connection connection(descriptor);
        const std::string body = "prompt of " + requestId + std::string(600, 'p');
        connection.write("POST " + path
                         + " HTTP/1.1\r\nHost: desk.example\r\n"
                           "Cranberryquay-Request-Id: "
                         + requestId
                         + "\r\nCranberryquay-Model: m\r\n"
                           "Cranberryquay-Token-Usage: "
                         + std::to_string(prompt) + ',' + std::to_string(most)
                         + "\r\nCranberryquay-Length-Hint: " + std::to_string(most)
                         + "\r\nCranberryquay-Prompt-Prefix: 5c1e07a2:40," + requestId
                         + ":20\r\nCranberryquay-Deadline-Ms: " + std::to_string(deadlineMs)
                         + "\r\nAuthorization: Bearer key-of-house\r\nContent-Length: "
                         + std::to_string(body.size()) + "\r\n\r\n" + body);
        const double until = nowMs() + deadlineMs + 1000;
        Message head;
        if (connection.readHead(head, until)) {
            result.status = head.status();
            std::string size;
            std::string data;
            std::string events;
            if (head.header("transfer-encoding") == "chunked") {
                while (connection.readLine(size, until)) {
                    const auto length = std::size_t(std::strtol(size.c_str(), nullptr, 16));
                    if (!connection.readBytes(length + 2, data, until))
                        break;
                    result.isWhole = length == 0;
                    if (result.isWhole)
                        break;
                    events += data.substr(0, length);
                }
                std::size_t at = 0;
                while ((at = events.find("id: ", at)) != std::string::npos) {
                    result.isOrdered =
                        result.isOrdered && std::atol(events.c_str() + at + 4) == result.events + 1;
                    ++result.events;
                    at += 4;
                }
            } else {
                result.isWhole = connection.readBytes(
                    std::size_t(std::atol(head.header("content-length").c_str())), data, until);
            }
        }
    }
    record.line("ANSWER " + requestId + " status " + std::to_string(result.status) + ", "
                + std::to_string(result.events) + " events" + (result.isWhole ? "" : ", broken off")
                + (result.isOrdered ? "" : ", out of order"));
    return result;
}

} // namespace review
