#include "runtime/internal/fiberscheduler.h"

#include <boost/asio/post.hpp>

namespace flamingousher::runtime {

namespace {

    // Number of fibers resumed between two polls of the I/O context.
    constexpr std::uint32_t PicksBetweenPolls = 64;

} // namespace

FiberScheduler::FiberScheduler(boost::asio::io_context& io)
    : io_(io)
    , timer_(io)
{
}

void FiberScheduler::awakened(boost::fibers::context* context) noexcept
{
    context->ready_link(ready_);
}

boost::fibers::context* FiberScheduler::pick_next() noexcept
{
    if (++picksSincePoll_ >= PicksBetweenPolls) {
        picksSincePoll_ = 0;
        io_.poll();
    }
    if (ready_.empty())
        return nullptr;
    boost::fibers::context* next = &ready_.front();
    ready_.pop_front();
    return next;
}

bool FiberScheduler::has_ready_fibers() const noexcept
{
    return !ready_.empty();
}

void FiberScheduler::suspend_until(const std::chrono::steady_clock::time_point& until) noexcept
{
    picksSincePoll_ = 0;
    armTimer(until);
    if (io_.poll() == 0 && ready_.empty())
        io_.run_one();
}

// Re-arms the timer only when the time changes: each cancelled wait completes as an event of its own, so that the
// thread would never block.
void FiberScheduler::armTimer(const std::chrono::steady_clock::time_point& until)
{
    if (until == armedUntil_)
        return;
    armedUntil_ = until;
    if (until == std::chrono::steady_clock::time_point::max()) {
        timer_.cancel();
        return;
    }
    timer_.expires_at(until);
    timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            armedUntil_ = std::chrono::steady_clock::time_point::max();
    });
}

void FiberScheduler::notify() noexcept
{
    boost::asio::post(io_, [] {});
}

} // namespace flamingousher::runtime
