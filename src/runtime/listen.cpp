#include "runtime/listen.h"

#include "runtime/usefiber.h"

#include <boost/asio/steady_timer.hpp>

#include <sys/socket.h>

namespace flamingousher::runtime {

using boost::asio::ip::tcp;

namespace {

    constexpr std::chrono::milliseconds AcceptRetryDelay { 10 };

} // namespace

boost::system::error_code listenOn(tcp::acceptor& acceptor, const tcp::endpoint& endpoint, bool isShared)
{
    boost::system::error_code error;
    acceptor.open(endpoint.protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error && isShared) {
        using ReusePort = boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
        acceptor.set_option(ReusePort(true), error);
    }
    if (!error)
        acceptor.bind(endpoint, error);
    if (!error)
        acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
    return error;
}

void acceptEach(tcp::acceptor& acceptor, const std::function<void(tcp::socket)>& onAccepted)
{
    while (acceptor.is_open()) {
        boost::system::error_code error;
        tcp::socket socket = acceptor.async_accept(useFiber[error]);
        if (error == boost::asio::error::operation_aborted)
            return;
        if (!error) {
            onAccepted(std::move(socket));
            continue;
        }
        // The process may be out of file descriptors: wait for open connections to close before retrying.
        boost::asio::steady_timer retryTimer(acceptor.get_executor(), AcceptRetryDelay);
        retryTimer.async_wait(useFiber[error]);
    }
}

} // namespace flamingousher::runtime
