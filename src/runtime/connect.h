#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <tl/expected.hpp>

namespace flamingousher::runtime {

// Opens a connection, in the calling fiber. Fails with timed_out when the given duration expires first.
tl::expected<boost::asio::ip::tcp::socket, boost::system::error_code> connectWithin(
    boost::asio::io_context&, const boost::asio::ip::tcp::endpoint&, boost::asio::steady_timer::duration);

} // namespace flamingousher::runtime
