#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

namespace flamingousher::runtime {

// Round-robin fiber scheduler that runs an I/O context whenever no fiber is ready, and periodically
// while fibers are ready, so that neither starves the other.
class FiberScheduler final : public boost::fibers::algo::algorithm {
public:
    explicit FiberScheduler(boost::asio::io_context&);

    void awakened(boost::fibers::context*) noexcept override;
    boost::fibers::context* pick_next() noexcept override;
    bool has_ready_fibers() const noexcept override;
    void suspend_until(const std::chrono::steady_clock::time_point&) noexcept override;
    void notify() noexcept override;

private:
    void armTimer(const std::chrono::steady_clock::time_point&);

    boost::asio::io_context& io_;
    boost::asio::steady_timer timer_;
    boost::fibers::scheduler::ready_queue_type ready_;
    std::chrono::steady_clock::time_point armedUntil_ { std::chrono::steady_clock::time_point::max() };
    std::uint32_t picksSincePoll_ { 0 };
};

} // namespace flamingousher::runtime
