#pragma once

#include <boost/fiber/context.hpp>

namespace flamingousher::runtime {

// Wakes the single fiber that waits for it. A notification without a waiter is stored for the next wait.
// wait() and notify() must be called on the same thread.
class Signal {
public:
    void wait()
    {
        boost::fibers::context* self = boost::fibers::context::active();
        while (!isNotified_) {
            waker_ = self->create_waker();
            isWaiting_ = true;
            self->suspend();
            isWaiting_ = false;
        }
        isNotified_ = false;
    }

    void notify()
    {
        isNotified_ = true;
        if (isWaiting_)
            waker_.wake();
    }

private:
    boost::fibers::waker waker_;
    bool isNotified_ { false };
    bool isWaiting_ { false };
};

} // namespace flamingousher::runtime
