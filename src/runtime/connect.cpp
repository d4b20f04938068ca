#include "runtime/connect.h"

#include "runtime/timeout.h"
#include "runtime/usefiber.h"

namespace flamingousher::runtime {

using boost::asio::ip::tcp;
using boost::system::error_code;

tl::expected<tcp::socket, error_code> connectWithin(
    boost::asio::io_context& io, const tcp::endpoint& endpoint, boost::asio::steady_timer::duration duration)
{
    tcp::socket socket(io);
    error_code error;
    bool hasTimedOut = false;
    const Timeout timeout(io, duration, [&] {
        hasTimedOut = true;
        error_code ignored;
        socket.close(ignored);
    });
    socket.async_connect(endpoint, useFiber[error]);
    if (hasTimedOut)
        return tl::unexpected(error_code(boost::asio::error::timed_out));
    if (error)
        return tl::unexpected(error);
    return socket;
}

} // namespace flamingousher::runtime
