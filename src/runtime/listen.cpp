#include "runtime/listen.h"

#include <sys/socket.h>

namespace flamingousher::runtime {

using boost::asio::ip::tcp;

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

} // namespace flamingousher::runtime
