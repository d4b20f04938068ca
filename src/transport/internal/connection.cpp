#include "transport/internal/connection.h"

#include "runtime/socketoptions.h"

#include <sys/socket.h>

namespace flamingousher::transport {

namespace {

    constexpr runtime::LossDetection UpstreamLoss { .unacknowledged = std::chrono::milliseconds(400),
        .keepaliveIdle = std::chrono::seconds(5),
        .keepaliveInterval = std::chrono::seconds(1),
        .keepaliveProbes = 3 };

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
    runtime::setConnectionOptions(socket, UpstreamLoss);
}

bool isClosedByPeer(boost::asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const ssize_t received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    // Unsolicited bytes make the connection as unusable as a closed one.
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

} // namespace flamingousher::transport
