#include "hostileclients/crowd.h"

#include <array>
#include <cerrno>
#include <chrono>

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace flamingousher::trial {

namespace {

    constexpr std::size_t SendingClients = 100;
    constexpr std::size_t SilentClients = 700;
    constexpr std::size_t LargeChunkBytes = 32 * 1024;
    constexpr std::size_t SmallChunksPerStep = 4'000;
    constexpr std::size_t SmallChunkSteps = 50;
    constexpr std::size_t FieldBytes = 900; // of one field of a head or trailer
    constexpr std::size_t FieldsPerStep = 64;
    constexpr std::size_t FieldSteps = 50;
    constexpr std::size_t PipelinedRequests = 2'000;
    constexpr std::size_t MissingBytes = 16; // by which a body stops short of its end

    // Without progress of any client for this long, all are blocked.
    constexpr int BlockedMs = 500;

    // Ends a run whatever the server does.
    constexpr std::chrono::seconds MaxSendTime { 20 };

    std::string repeat(const std::string& text, std::size_t count)
    {
        std::string result;
        result.reserve(text.size() * count);
        for (std::size_t index = 0; index < count; ++index)
            result += text;
        return result;
    }

    std::string fields(std::size_t step)
    {
        return repeat("x-" + std::to_string(step) + ": " + std::string(FieldBytes, 'a') + "\r\n", FieldsPerStep);
    }

    std::string toHex(std::size_t number)
    {
        std::array<char, 20> text {};
        std::snprintf(text.data(), text.size(), "%zx", number);
        return text.data();
    }

} // namespace

std::optional<Bytes> parseBytes(std::string_view text)
{
    constexpr std::array<std::pair<std::string_view, Bytes>, 7> Names { { { "trailers", Bytes::Trailers },
        { "heads", Bytes::Heads }, { "large-chunks", Bytes::LargeChunks }, { "small-chunks", Bytes::SmallChunks },
        { "length", Bytes::Length }, { "silence", Bytes::Silence }, { "pipeline", Bytes::Pipeline } } };
    for (const auto& [name, bytes] : Names) {
        if (name == text)
            return bytes;
    }
    return std::nullopt;
}

Crowd::Crowd(const http::Endpoint& server, Bytes bytes, const std::string& host, std::size_t bodyLimit)
    : server_(server)
    , bytes_(bytes)
    , host_(host)
    , bodyLimit_(bodyLimit)
    , clients_(bytes == Bytes::Silence ? SilentClients : SendingClients)
{
}

Crowd::~Crowd()
{
    for (const Client& client : clients_) {
        if (client.socket >= 0)
            ::close(client.socket);
    }
}

bool Crowd::connect(Client& client) const
{
    client.socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(server_.port());
    address.sin_addr.s_addr = htonl(server_.address().to_v4().to_uint());
    if (::connect(client.socket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0)
        return false;
    ::fcntl(client.socket, F_SETFL, O_NONBLOCK);
    return true;
}

// Returns the bytes of one step of the script, or none at its end.
std::string Crowd::next(std::size_t step) const
{
    const std::string head = "POST /one/1 HTTP/1.1\r\nHost: " + host_
        + "\r\nFlamingousher-Request-Id: crowd\r\nFlamingousher-Deadline-Ms: 3000\r\n";
    switch (bytes_) {
    case Bytes::Trailers:
        return step == 0         ? head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n"
            : step <= FieldSteps ? fields(step)
                                 : std::string();
    case Bytes::Heads:
        return step == 0 ? head : step <= FieldSteps ? fields(step) : std::string();
    case Bytes::LargeChunks:
        if (step == 0)
            return head + "Transfer-Encoding: chunked\r\n\r\n";
        return step * LargeChunkBytes < bodyLimit_
            ? toHex(LargeChunkBytes) + "\r\n" + std::string(LargeChunkBytes, 'a') + "\r\n"
            : std::string();
    case Bytes::SmallChunks:
        if (step == 0)
            return head + "Transfer-Encoding: chunked\r\n\r\n";
        return step <= SmallChunkSteps ? repeat("1\r\na\r\n", SmallChunksPerStep) : std::string();
    case Bytes::Length:
        return step == 0 ? head + "Content-Length: " + std::to_string(bodyLimit_) + "\r\n\r\n"
            : step == 1  ? std::string(bodyLimit_ - MissingBytes, 'a')
                         : std::string();
    case Bytes::Pipeline:
        return step == 0 ? repeat("GET /one/1 HTTP/1.1\r\nHost: " + host_ + "\r\n\r\n", PipelinedRequests)
                         : std::string();
    case Bytes::Silence:
        return {};
    }
    return {};
}

void Crowd::advance(Client& client)
{
    for (;;) {
        if (client.pending.empty())
            client.pending = next(client.step++);
        if (client.pending.empty()) {
            client.isDone = true;
            return;
        }
        const auto sent = ::send(client.socket, client.pending.data(), client.pending.size(), MSG_NOSIGNAL);
        if (sent < 0) {
            client.isClosed = errno != EAGAIN && errno != EWOULDBLOCK;
            return;
        }
        client.pending.erase(0, static_cast<std::size_t>(sent));
    }
}

void Crowd::send()
{
    for (Client& client : clients_)
        client.isClosed = !connect(client);
    const auto end = std::chrono::steady_clock::now() + MaxSendTime;
    while (std::chrono::steady_clock::now() < end) {
        std::vector<pollfd> polled;
        for (Client& client : clients_) {
            if (!client.isDone && !client.isClosed)
                advance(client);
            if (!client.isDone && !client.isClosed)
                polled.push_back({ client.socket, POLLOUT, 0 });
        }
        if (polled.empty() || ::poll(polled.data(), polled.size(), BlockedMs) <= 0)
            return;
    }
}

std::size_t Crowd::closedByServer() const
{
    std::size_t closed = 0;
    for (const Client& client : clients_) {
        pollfd state { client.socket, POLLIN | POLLRDHUP, 0 };
        const bool hasEnded = ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
        closed += client.isClosed || hasEnded ? 1 : 0;
    }
    return closed;
}

} // namespace flamingousher::trial
