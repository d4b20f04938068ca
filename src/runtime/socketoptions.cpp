#include "runtime/socketoptions.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace flamingousher::runtime {

namespace {

    void setOption(int socket, int level, int option, int value)
    {
        ::setsockopt(socket, level, option, &value, sizeof(value));
    }

} // namespace

void setConnectionOptions(boost::asio::ip::tcp::socket& socket, const LossDetection& loss)
{
    const int handle = socket.native_handle();
    setOption(handle, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(loss.unacknowledged.count()));
    setOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(loss.keepaliveIdle.count()));
    setOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, static_cast<int>(loss.keepaliveInterval.count()));
    setOption(handle, IPPROTO_TCP, TCP_KEEPCNT, loss.keepaliveProbes);
}

std::optional<std::chrono::microseconds> roundTripTime(boost::asio::ip::tcp::socket& socket)
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0 || info.tcpi_rtt == 0)
        return std::nullopt;
    return std::chrono::microseconds(info.tcpi_rtt);
}

} // namespace flamingousher::runtime
