#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace flamingousher::runtime {

// Calls a function after a duration, unless destroyed before. Must be used on the thread of the I/O context.
class Timeout {
public:
    Timeout(boost::asio::io_context&, boost::asio::steady_timer::duration, std::function<void()> onExpired);
    ~Timeout();
    Timeout(const Timeout&) = delete;
    Timeout& operator=(const Timeout&) = delete;

private:
    boost::asio::steady_timer timer_;
    std::shared_ptr<bool> isArmed_; // shared with the timer's handler, which may run after destruction
};

} // namespace flamingousher::runtime
