#pragma once

#include "runtime/signal.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/future.hpp>

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>

namespace flamingousher::runtime {

// Starts a fiber on the calling thread. An exception that escapes the function terminates the process.
void spawnFiber(std::function<void()>);

// A thread that runs fibers and one I/O context. Everything it owns is accessed from this thread only.
class FiberThread {
public:
    explicit FiberThread(const std::string& name);
    ~FiberThread();
    FiberThread(const FiberThread&) = delete;
    FiberThread& operator=(const FiberThread&) = delete;

    boost::asio::io_context& io() { return io_; }

    // Runs the function in a new fiber of this thread. Callable from any thread.
    void post(std::function<void()>);

    // Runs the function in a new fiber of this thread and waits for its result. Must be called from
    // another thread; if that thread runs fibers, its other fibers keep running in the meantime.
    template <typename Function> auto call(Function function) -> decltype(function())
    {
        // Shared, because the waiting thread may resume before set_value() returns.
        auto promise = std::make_shared<boost::fibers::promise<decltype(function())>>();
        auto future = promise->get_future();
        post([&function, promise] {
            if constexpr (std::is_void_v<decltype(function())>) {
                function();
                promise->set_value();
            } else {
                promise->set_value(function());
            }
        });
        return future.get();
    }

    // Stops the thread. Suspended fibers are abandoned without being unwound.
    void stop();

private:
    void run();

    std::string name_;
    boost::asio::io_context io_ { 1 };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    Signal stopRequested_;
    std::promise<void> stopped_;
    std::thread thread_;
};

} // namespace flamingousher::runtime
