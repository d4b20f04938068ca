#include "runtime/timeout.h"

namespace flamingousher::runtime {

Timeout::Timeout(
    boost::asio::io_context& io, boost::asio::steady_timer::duration duration, std::function<void()> onExpired)
    : timer_(io, duration)
    , isArmed_(std::make_shared<bool>(true))
{
    timer_.async_wait([isArmed = isArmed_, onExpired = std::move(onExpired)](const boost::system::error_code& error) {
        if (!error && *isArmed)
            onExpired();
    });
}

// Cancelling the timer is not enough: it may have expired already, with its handler queued.
Timeout::~Timeout()
{
    *isArmed_ = false;
}

} // namespace flamingousher::runtime
