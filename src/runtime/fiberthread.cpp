#include "runtime/fiberthread.h"

#include "runtime/internal/fiberscheduler.h"

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/pooled_fixedsize_stack.hpp>

#include <pthread.h>
#include <unistd.h>

namespace flamingousher::runtime {

namespace {

    constexpr std::size_t FiberStackBytes = 64 * 1024;

    boost::fibers::pooled_fixedsize_stack& stackAllocator()
    {
        thread_local boost::fibers::pooled_fixedsize_stack allocator(FiberStackBytes);
        return allocator;
    }

} // namespace

void spawnFiber(std::function<void()> function)
{
    boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg, stackAllocator(), std::move(function))
        .detach();
}

FiberThread::FiberThread(const std::string& name)
    : name_(name)
    , work_(io_.get_executor())
    , thread_([this] { run(); })
{
    pthread_setname_np(thread_.native_handle(), name.substr(0, 15).c_str());
}

FiberThread::~FiberThread()
{
    stop();
}

void FiberThread::post(std::function<void()> function)
{
    boost::asio::post(io_, [function = std::move(function)]() mutable { spawnFiber(std::move(function)); });
}

void FiberThread::run()
{
    boost::fibers::use_scheduling_algorithm<FiberScheduler>(io_);
    // The main fiber only waits for stop(); meanwhile the scheduler runs the I/O context.
    stopRequested_.wait();
    stopped_.set_value();
    // A fiber scheduler is destroyed only after all its fibers have finished, and a fiber that waits for I/O never
    // finishes once the I/O context has stopped. The thread therefore sleeps until the process ends.
    for (;;)
        ::pause();
}

void FiberThread::stop()
{
    if (!thread_.joinable())
        return;
    boost::asio::post(io_, [this] { stopRequested_.notify(); });
    stopped_.get_future().wait();
    thread_.detach();
}

} // namespace flamingousher::runtime
