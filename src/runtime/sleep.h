#pragma once

#include "runtime/usefiber.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace flamingousher::runtime {

// Suspends the calling fiber for the given time.
inline void sleepFor(boost::asio::io_context& io, boost::asio::steady_timer::duration duration)
{
    boost::asio::steady_timer timer(io, duration);
    boost::system::error_code ignored;
    timer.async_wait(useFiber[ignored]);
}

} // namespace flamingousher::runtime
