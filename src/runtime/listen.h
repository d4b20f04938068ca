#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace flamingousher::runtime {

// Opens, binds and begins to listen. With sharing, several threads may listen on the same endpoint.
boost::system::error_code listenOn(
    boost::asio::ip::tcp::acceptor&, const boost::asio::ip::tcp::endpoint&, bool isShared = false);

} // namespace flamingousher::runtime
