#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace flamingousher::runtime {

// Calls a function when the time has passed, unless the object has ended before. Used on the thread of the I/O context.
class Timeout {
public:
    Timeout(boost::asio::io_context&, boost::asio::steady_timer::duration, std::function<void()> onExpired);
    ~Timeout();
    Timeout(const Timeout&) = delete;
    Timeout& operator=(const Timeout&) = delete;

private:
    boost::asio::steady_timer timer_;
    std::shared_ptr<bool> isArmed_; // shared with the timer's handler, which may run later
};

} // namespace flamingousher::runtime
