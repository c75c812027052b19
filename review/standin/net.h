// Blocking HTTP/1.1 over loopback sockets, for the stand-ins of the review.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <cstring>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

/// Milliseconds since the start of the program.
inline double nowMs()
{
    static const Clock::time_point start = Clock::now();
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

inline void sleepMs(double ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::duration<double, std::milli>(ms));
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), ::tolower);
    return text;
}

inline std::string trimmed(const std::string &text)
{
    const auto first = text.find_first_not_of(" \t\r\n");
    const auto last = text.find_last_not_of(" \t\r\n");
    return first == std::string::npos ? std::string() : text.substr(first, last - first + 1);
}

/// Names of header fields are in lower case.
struct Message {
    std::string startLine;
    std::map<std::string, std::string> headers;
    std::string body;

    std::string header(const std::string &name) const
    {
        const auto found = headers.find(name);
        return found == headers.end() ? std::string() : found->second;
    }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const
    {
        const auto from = startLine.find(' ') + 1;
        return startLine.substr(from, startLine.find(' ', from) - from);
    }
    int status() const
    {
        const auto from = startLine.find(' ');
        return from == std::string::npos ? 0 : std::atoi(startLine.c_str() + from + 1);
    }
};

/// One connection; not copied. Reads fail after the time limit, if one is set.
class Connection
{
public:
    explicit Connection(int descriptor)
        : m_descriptor(descriptor)
    {
        const int on = 1;
        setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    }
    ~Connection() { close(); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    int descriptor() const { return m_descriptor; }

    void close()
    {
        if (m_descriptor >= 0)
            ::close(m_descriptor);
        m_descriptor = -1;
    }

    void reset()
    {
        const linger abortive{1, 0};
        setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &abortive, sizeof(abortive));
        close();
    }

    bool write(const std::string &data)
    {
        std::size_t sent = 0;
        while (sent < data.size()) {
            const ssize_t count =
                ::send(m_descriptor, data.data() + sent, data.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += std::size_t(count);
        }
        return true;
    }

    /// Whether the peer has closed or reset the connection.
    bool peerHasClosed() const
    {
        char byte = 0;
        const ssize_t count = ::recv(m_descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    /// Reads more bytes; false at the end, after a reset or if @p untilMs has passed.
    bool fill(double untilMs, std::size_t maxBytes = 65536)
    {
        const double left = untilMs - nowMs();
        if (left <= 0)
            return false;
        pollfd waiting{m_descriptor, POLLIN, 0};
        if (::poll(&waiting, 1, int(left) + 1) <= 0)
            return false;
        std::string chunk(maxBytes, '\0');
        const ssize_t count = ::recv(m_descriptor, chunk.data(), chunk.size(), 0);
        if (count <= 0) {
            wasReset = count < 0;
            return false;
        }
        buffer.append(chunk, 0, std::size_t(count));
        return true;
    }

    bool readHead(Message &message, double untilMs)
    {
        std::size_t end = 0;
        while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(untilMs))
                return false;
        }
        const std::string head = buffer.substr(0, end);
        buffer.erase(0, end + 4);
        std::size_t from = 0;
        bool isFirst = true;
        while (from <= head.size()) {
            auto to = head.find("\r\n", from);
            if (to == std::string::npos)
                to = head.size();
            const std::string line = head.substr(from, to - from);
            from = to + 2;
            if (isFirst)
                message.startLine = line;
            else if (const auto colon = line.find(':'); colon != std::string::npos)
                message.headers[lower(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
            isFirst = false;
        }
        return true;
    }

    bool readBytes(std::size_t count, std::string &out, double untilMs)
    {
        while (buffer.size() < count) {
            if (!fill(untilMs))
                return false;
        }
        out = buffer.substr(0, count);
        buffer.erase(0, count);
        return true;
    }

    bool readLine(std::string &line, double untilMs)
    {
        std::size_t end = 0;
        while ((end = buffer.find("\r\n")) == std::string::npos) {
            if (!fill(untilMs))
                return false;
        }
        line = buffer.substr(0, end);
        buffer.erase(0, end + 2);
        return true;
    }

    std::string buffer;
    bool wasReset = false;

private:
    int m_descriptor;
};

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(std::uint16_t(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Returns -1 if the connection is refused.
inline int connectTo(int port, int receiveBuffer = 0)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (receiveBuffer > 0)
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
    const sockaddr_in address = loopback(port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0)
        return descriptor;
    ::close(descriptor);
    return -1;
}

/// A free port of the loopback address; another program may take it in the meantime.
inline int freePort()
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address = loopback(0);
    socklen_t size = sizeof(address);
    ::bind(descriptor, reinterpret_cast<sockaddr *>(&address), size);
    ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    ::close(descriptor);
    return ntohs(address.sin_port);
}

/// Accepts connections, each in a thread of its own, until it is stopped.
class Listener
{
public:
    using Handler = std::function<void(Connection &)>;

    void start(Handler handler, int receiveBuffer = 0)
    {
        m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (receiveBuffer > 0)
            setsockopt(m_descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBuffer, sizeof(receiveBuffer));
        sockaddr_in address = loopback(0);
        socklen_t size = sizeof(address);
        ::bind(m_descriptor, reinterpret_cast<sockaddr *>(&address), size);
        ::listen(m_descriptor, 512);
        ::getsockname(m_descriptor, reinterpret_cast<sockaddr *>(&address), &size);
        port = ntohs(address.sin_port);
        std::thread([this, descriptor = m_descriptor, handler = std::move(handler)] {
            for (;;) {
                const int accepted = ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    if (errno == EINTR || errno == ECONNABORTED)
                        continue;
                    return;
                }
                std::thread([handler, accepted] {
                    Connection connection(accepted);
                    handler(connection);
                }).detach();
            }
        }).detach();
    }

    /// Refuses further connections.
    void stop()
    {
        if (m_descriptor >= 0)
            ::shutdown(m_descriptor, SHUT_RDWR);
        m_descriptor = -1;
    }

    int port = 0;

private:
    int m_descriptor = -1;
};

inline std::string response(int status, const std::string &body, const std::string &headers = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The value of a member of a flat JSON object without escapes: the text of a string, or the
/// literal.
inline std::string jsonMember(const std::string &json, const std::string &name)
{
    const auto at = json.find('"' + name + '"');
    if (at == std::string::npos)
        return {};
    auto from = json.find(':', at) + 1;
    while (from < json.size() && json[from] == ' ')
        ++from;
    if (json[from] == '"')
        return json.substr(from + 1, json.find('"', from + 1) - from - 1);
    return trimmed(json.substr(from, json.find_first_of(",}", from) - from));
}

} // namespace review
