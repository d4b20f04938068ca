#include "transport/internal/connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace flamingousher::transport {

namespace {

    constexpr int UnacknowledgedTimeoutMs = 400;
    constexpr int KeepaliveIdleSeconds = 5;
    constexpr int KeepaliveIntervalSeconds = 1;
    constexpr int KeepaliveProbes = 3;

    void setOption(int socket, int level, int option, int value)
    {
        ::setsockopt(socket, level, option, &value, sizeof(value));
    }

} // namespace

void Connection::close()
{
    isClosing = true;
    boost::system::error_code ignored;
    socket.close(ignored);
    wakeUp.notify();
}

void setUpstreamOptions(boost::asio::ip::tcp::socket& socket)
{
    const int handle = socket.native_handle();
    setOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, UnacknowledgedTimeoutMs);
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, KeepaliveIdleSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, KeepaliveIntervalSeconds);
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, KeepaliveProbes);
}

bool isClosedByPeer(boost::asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const ssize_t received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    // Bytes that no request has asked for are as good as a closed connection.
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace flamingousher::transport
