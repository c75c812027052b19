#pragma once

#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdlib>
#include <cstring>
#include <functional>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <vector>

/// Blocking HTTP/1.1 over loopback, one thread a connection, for the stand-ins of the review.

using Clock = std::chrono::steady_clock;

inline double secondsSince(Clock::time_point start)
{
    return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void sleepFor(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

inline sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(uint16_t(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// Listens on @p port, or on a free one if it is 0; sets @p port. Returns -1 on failure.
inline int listenOn(int &port, int backlog = 512)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int one = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in address = loopback(port);
    socklen_t size = sizeof(address);
    if (::bind(fd, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(fd, backlog) != 0
        || ::getsockname(fd, reinterpret_cast<sockaddr *>(&address), &size) != 0) {
        ::close(fd);
        return -1;
    }
    port = ntohs(address.sin_port);
    return fd;
}

/// A port below those that the system gives to outgoing connections, so that it stays free until a
/// process listens there.
inline int freePort()
{
    static std::mt19937 random(std::random_device{}());
    std::uniform_int_distribution<int> ports(12000, 32000);
    for (;;) {
        int port = ports(random);
        const int fd = listenOn(port);
        if (fd < 0)
            continue;
        ::close(fd);
        return port;
    }
}

/// Returns -1 if the connection is refused or not established within a second.
inline int connectTo(int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const timeval limit{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    const sockaddr_in address = loopback(port);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += size_t(count);
    }
    return true;
}

inline void resetConnection(int fd)
{
    const linger abortive{1, 0};
    ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &abortive, sizeof(abortive));
    ::close(fd);
}

/// Whether the peer has closed or reset the connection.
inline bool isClosedByPeer(int fd)
{
    char byte = 0;
    const ssize_t count = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

struct NoCase {
    bool operator()(const std::string &a, const std::string &b) const
    {
        return ::strcasecmp(a.c_str(), b.c_str()) < 0;
    }
};
using Headers = std::map<std::string, std::string, NoCase>;

inline std::string valueOf(const Headers &headers, const std::string &name)
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

/// Reads from a connection until a deadline.
class Reader
{
public:
    enum class End { None, Closed, Reset, TimedOut };

    explicit Reader(int fd)
        : m_fd(fd)
    {
    }
    void setDeadline(Clock::time_point deadline) { m_deadline = deadline; }
    End end() const { return m_end; }
    std::string &bytes() { return m_bytes; }

    bool more()
    {
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(m_deadline - Clock::now());
        pollfd waiting{m_fd, POLLIN, 0};
        if (left.count() <= 0 || ::poll(&waiting, 1, int(left.count())) <= 0)
            return fail(End::TimedOut);
        char buffer[65536];
        const ssize_t count = ::recv(m_fd, buffer, sizeof(buffer), 0);
        if (count <= 0)
            return fail(count == 0 ? End::Closed : End::Reset);
        m_bytes.append(buffer, size_t(count));
        return true;
    }

    bool head(std::string &startLine, Headers &headers)
    {
        size_t end = 0;
        while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            if (!more())
                return false;
        }
        const std::string text = m_bytes.substr(0, end + 2);
        m_bytes.erase(0, end + 4);
        size_t position = text.find("\r\n");
        startLine = text.substr(0, position);
        headers.clear();
        while ((position += 2) < text.size()) {
            const size_t next = text.find("\r\n", position);
            const std::string line = text.substr(position, next - position);
            const size_t colon = line.find(':');
            if (colon != std::string::npos) {
                const size_t value = line.find_first_not_of(' ', colon + 1);
                headers[line.substr(0, colon)] =
                    value == std::string::npos ? std::string() : line.substr(value);
            }
            position = next;
        }
        return true;
    }

    bool take(size_t count, std::string &into)
    {
        while (m_bytes.size() < count) {
            if (!more())
                return false;
        }
        into.append(m_bytes, 0, count);
        m_bytes.erase(0, count);
        return true;
    }

    bool line(std::string &into)
    {
        size_t end = 0;
        while ((end = m_bytes.find("\r\n")) == std::string::npos) {
            if (!more())
                return false;
        }
        into = m_bytes.substr(0, end);
        m_bytes.erase(0, end + 2);
        return true;
    }

    /// Reads a body with a length or in chunks; false if it ends early.
    bool body(const Headers &headers, std::string &into)
    {
        if (::strcasecmp(valueOf(headers, "Transfer-Encoding").c_str(), "chunked") != 0)
            return take(size_t(std::atoll(valueOf(headers, "Content-Length").c_str())), into);
        for (;;) {
            std::string size;
            std::string crlf;
            if (!line(size))
                return false;
            const size_t count = std::strtoul(size.c_str(), nullptr, 16);
            if (count == 0)
                return line(size);
            if (!take(count, into) || !take(2, crlf))
                return false;
        }
    }

private:
    bool fail(End end)
    {
        m_end = end;
        return false;
    }

    int m_fd;
    std::string m_bytes;
    Clock::time_point m_deadline = Clock::now() + std::chrono::hours(1);
    End m_end = End::None;
};

struct Request {
    std::string method;
    /// With the query.
    std::string target;
    std::string path;
    std::map<std::string, std::string> query;
    Headers headers;
    std::string body;
};

inline std::string decoded(const std::string &text)
{
    std::string plain;
    for (size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain += char(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            plain += text[i];
        }
    }
    return plain;
}

inline bool readRequest(Reader &reader, Request &request)
{
    std::string start;
    request = Request();
    if (!reader.head(start, request.headers))
        return false;
    const size_t first = start.find(' ');
    const size_t second = start.find(' ', first + 1);
    request.method = start.substr(0, first);
    request.target = start.substr(first + 1, second - first - 1);
    const size_t mark = request.target.find('?');
    request.path = request.target.substr(0, mark);
    for (size_t at = mark; at != std::string::npos;) {
        const size_t next = request.target.find('&', at + 1);
        const std::string pair = request.target.substr(
            at + 1, next == std::string::npos ? std::string::npos : next - at - 1);
        const size_t equals = pair.find('=');
        if (equals != std::string::npos)
            request.query[pair.substr(0, equals)] = decoded(pair.substr(equals + 1));
        at = next;
    }
    return reader.body(request.headers, request.body);
}

inline std::string answer(int status, const std::string &body, const std::string &headers = {})
{
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Calls @p serve with each accepted connection in a thread of its own, which closes it.
inline void acceptAll(int listener, std::function<void(int)> serve)
{
    for (;;) {
        const int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            return;
        const int one = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
        std::thread(serve, fd).detach();
    }
}

/// The string after "name": in @p json; enough for the bodies that the daemon sends.
inline std::string jsonField(const std::string &json, const std::string &name)
{
    size_t at = json.find('"' + name + "\":");
    if (at == std::string::npos)
        return {};
    at += name.size() + 3;
    if (json[at] == '"')
        return json.substr(at + 1, json.find('"', at + 1) - at - 1);
    return json.substr(at, json.find_first_of(",}]", at) - at);
}
