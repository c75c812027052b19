#pragma once

#include "Net.h"

#include <atomic>
#include <csignal>
#include <cstdio>
#include <mutex>

/// "A second or so".
constexpr double SilenceSeconds = 1.5;

inline std::atomic<int> silencesAsked{0};
inline std::atomic<bool> isInTrouble{false};
/// Requests a second that a plain runner takes from all machines together.
constexpr char ServerLimit[] = "40";

/// Of all bytes without end together: less than the link of a machine, 1,000 Mbit/s.
constexpr double EndlessBytesPerSecond = 100e6;

/// A sound runner in a process of its own. An engine streams numbered events at a steady pace and
/// sends the memory of a run to the holder of its backup four times a second; it refuses moves, as
/// it has no room for them. A plain runner answers after a short time. Both drop a request when its
/// connection closes. After SIGUSR1 a runner falls silent for SilenceSeconds: it reads and sends
/// nothing, while its engine goes on; then it goes on as before. After SIGUSR2 it is in trouble: it
/// breaks off its streams, and answers what comes with bytes without end until the caller closes.
class Runner
{
public:
    /// @p kind: "engine", "plain", or "needy" for a plain runner that names a limit in its answers.
    Runner(std::string id, const std::string &kind, FILE *log)
        : m_id(std::move(id))
        , m_isEngine(kind == "engine")
        , m_isInNeed(kind == "needy")
        , m_log(log)
    {
    }

    int run(const std::string &portFile)
    {
        const int listener = listenOn(m_port);
        if (listener < 0)
            return 2;
        FILE *file = std::fopen((portFile + ".new").c_str(), "w");
        std::fprintf(file, "%d\n", m_port);
        std::fclose(file);
        std::rename((portFile + ".new").c_str(), portFile.c_str());
        std::signal(SIGUSR1, [](int) { ++silencesAsked; });
        std::signal(SIGUSR2, [](int) { isInTrouble = true; });
        std::thread([this] { watchSilence(); }).detach();
        acceptAll(listener, [this](int fd) { serve(fd); });
        return 0;
    }

private:
    void watchSilence()
    {
        for (int seen = 0;; sleepFor(0.005)) {
            if (silencesAsked == seen)
                continue;
            seen = silencesAsked;
            log("silent", "-");
            m_isSilent = true;
            sleepFor(SilenceSeconds);
            m_isSilent = false;
            log("not-silent", "-");
        }
    }

    void waitWhileSilent() const
    {
        while (m_isSilent)
            sleepFor(0.002);
    }

    struct Run {
        int made = 0;
        int total = 0;
        bool isStopping = false;
    };

    void log(const char *event, const std::string &request, int made = 0)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        const double now = std::chrono::duration<double>(Clock::now().time_since_epoch()).count();
        std::fprintf(m_log, "%.3f %s %s %s %d\n", now, m_id.c_str(), event, request.c_str(), made);
        std::fflush(m_log);
    }

    std::string named(const Request &request) const
    {
        return "Cranberryquay-Request-Id: " + valueOf(request.headers, "Cranberryquay-Request-Id")
            + "\r\nCranberryquay-Instance-Id: " + m_id + "\r\n";
    }

    std::string sealed(const Request &request) const
    {
        return named(request) + "Cranberryquay-Response-Seal: seal." + m_id + "\r\n";
    }

    std::string report()
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
               "\"busy\":false,\"seqNo\":1,\"queued\":0,\"running\":"
            + std::to_string(m_runs.size())
            + ",\"kvUsed\":1000,\"kvTotal\":34219,\"handles\":0,\"state\":\"ready\"}";
    }

    /// There is no room for a copy anywhere; with "last" the run stops and stays here.
    std::string move(const Request &request)
    {
        const std::string id = jsonField(request.body, "id");
        const bool isLast = jsonField(request.body, "last") == "true";
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            const auto run = m_runs.find(id);
            if (run == m_runs.end())
                return answer(404, "{}");
            if (!isLast)
                return answer(503, "{}");
            run->second.isStopping = true;
        }
        log("stopped", id);
        return answer(503, "{\"handle\":\"h-" + id + "\"}");
    }

    /// From another engine: the memory of a run as it has grown.
    std::string keepCopy(const Request &request)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_copies[request.query.at("id")] = std::atoi(request.query.at("total").c_str());
        return answer(200, "");
    }

    /// Sends what the run has in memory to the holder of its backup.
    void sendCopy(int port, const std::string &id, int total)
    {
        const int fd = connectTo(port);
        if (fd < 0)
            return;
        const timeval limit{0, 200000};
        ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        char byte = 0;
        if (sendAll(fd,
                    "POST /copy?id=" + id + "&total=" + std::to_string(total)
                        + " HTTP/1.1\r\nContent-Length: 0\r\n\r\n"))
            (void)!::recv(fd, &byte, 1, 0);
        ::close(fd);
    }

    void serve(int fd)
    {
        Reader reader(fd);
        Request request;
        while (readRequest(reader, request)) {
            if (!handle(fd, request))
                break;
        }
        ::close(fd);
    }

    /// Returns false if the connection is to be closed.
    bool handle(int fd, const Request &request)
    {
        waitWhileSilent();
        if (isInTrouble)
            return request.path != "/copy" && sendEndless(fd, request);
        const std::string expected = valueOf(request.headers, "Cranberryquay-Expect-Instance");
        if (!expected.empty() && expected != m_id)
            return sendAll(fd, answer(421, "", named(request)));
        if (request.path == "/v1/report")
            return sendAll(fd, answer(200, report()));
        if (request.path == "/health")
            return sendAll(fd, answer(200, "", "Cranberryquay-Instance-Id: " + m_id + "\r\n"));
        if (request.path == "/v1/hold-take")
            return sendAll(fd, answer(200, "{\"hold\":\"hold-1\"}"));
        if (request.path == "/v1/kv-move")
            return sendAll(fd, move(request));
        if (request.path == "/copy")
            return sendAll(fd, keepCopy(request));
        if (request.method == "DELETE")
            return sendAll(fd, answer(200, "{}"));
        return m_isEngine ? stream(fd, request) : plain(fd, request);
    }

    bool sendEndless(int fd, const Request &request)
    {
        log("endless", request.path);
        const std::string block(64 * 1024, 'x');
        bool isOpen = sendAll(
            fd, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n" + named(request) + "\r\n");
        while (isOpen) {
            {
                const std::lock_guard<std::mutex> lock(m_endlessMutex);
                sleepFor(double(block.size()) / EndlessBytesPerSecond);
            }
            isOpen = sendAll(fd, block);
        }
        return false;
    }

    bool plain(int fd, const Request &request)
    {
        const std::string id = valueOf(request.headers, "Cranberryquay-Request-Id");
        log("run", id);
        sleepFor(PlainSeconds);
        log("ran", id);
        const std::string limit = std::string("Server-Limit: ") + ServerLimit + "\r\n";
        return sendAll(fd,
                       answer(200, "body of " + id, sealed(request) + (m_isInNeed ? limit : "")));
    }

    bool stream(int fd, const Request &request)
    {
        const std::string id = valueOf(request.headers, "Cranberryquay-Request-Id");
        const std::string usage = valueOf(request.headers, "Cranberryquay-Token-Usage");
        const std::string source = valueOf(request.headers, "Kv-From");
        int made = 0;
        int total = std::max(std::atoi(usage.substr(usage.find(',') + 1).c_str()) / 4, 1);
        if (!source.empty()) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            const std::string handle = source.substr(source.find('/') + 1);
            auto &kept = m_copies.count(handle) > 0 ? m_copies : m_stopped;
            if (kept.count(handle) == 0)
                return sendAll(
                    fd, answer(503, "", named(request) + "Cranberryquay-Not-Executed: 1\r\n"));
            made = std::atoi(valueOf(request.headers, "Last-Event-Id").c_str());
            total = kept[handle];
            kept.erase(handle);
        }
        {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_runs[id] = {made, total, false};
        }
        log("run", id, made);
        const bool isWhole = sendEvents(fd, request, id, made, total);
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_runs.erase(id);
        return isWhole;
    }

    bool sendEvents(int fd, const Request &request, const std::string &id, int made, int total)
    {
        const std::string holder = valueOf(request.headers, "Cranberryquay-Kv-Backup");
        const int holderPort =
            holder.empty() ? 0 : std::atoi(holder.substr(holder.find(':') + 1).c_str());
        sleepFor(0.1);
        std::string unsent = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                             "Transfer-Encoding: chunked\r\n"
            + sealed(request) + "\r\n";
        auto copiedAt = Clock::now();
        for (; made < total; sleepFor(EventInterval)) {
            ++made;
            const std::string event = "id: " + std::to_string(made) + "\ndata: " + id + '-'
                + std::to_string(made) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            unsent += size + event + "\r\n";
            if (m_isSilent) {
                log("makes", id, made);
                continue;
            }
            if (isInTrouble) {
                sendAll(fd, unsent.substr(0, unsent.size() / 2));
                log("broken-off", id, made);
                return false;
            }
            if (isStopped(id, total))
                return false;
            if (isClosedByPeer(fd) || !sendAll(fd, unsent)) {
                log("dropped", id, made);
                return false;
            }
            unsent.clear();
            if (holderPort != 0 && secondsSince(copiedAt) > CopyInterval) {
                copiedAt = Clock::now();
                std::thread([=] { sendCopy(holderPort, id, total); }).detach();
            }
        }
        waitWhileSilent();
        log("ran", id, made);
        return sendAll(fd, unsent + "0\r\n\r\n");
    }

    bool isStopped(const std::string &id, int total)
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        if (!m_runs[id].isStopping)
            return false;
        m_stopped["h-" + id] = total;
        return true;
    }

    static constexpr double CopyInterval = 0.25;
    static constexpr double PlainSeconds = 0.03;
    static constexpr double EventInterval = 0.05;
    const std::string m_id;
    const bool m_isEngine;
    const bool m_isInNeed;
    FILE *m_log;
    int m_port = 0;
    std::mutex m_mutex;
    std::mutex m_endlessMutex;
    std::map<std::string, Run> m_runs;
    /// Events of the runs that were stopped, by their handles.
    std::map<std::string, int> m_stopped;
    /// Events of the runs whose memory other engines have sent here, by the ids of the requests.
    std::map<std::string, int> m_copies;
    std::atomic<bool> m_isSilent{false};
};
