#include "runtime/connect.h"
#include "runtime/fiberthread.h"
#include "runtime/listen.h"
#include "runtime/sleep.h"
#include "runtime/timeout.h"
#include "runtime/usefiber.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/fiber/operations.hpp>

#include <criterion/criterion.h>

#include <ctime>

using namespace flamingousher::runtime;
using boost::asio::ip::tcp;

Test(FiberThread, returnsResultOfCall)
{
    FiberThread thread("test");
    cr_expect_eq(thread.call([] { return 42; }), 42);
}

Test(FiberThread, survivesManyCallsFromAnotherThread)
{
    FiberThread thread("test");
    int sum = 0;
    for (int call = 0; call < 20'000; ++call)
        sum += thread.call([] { return 1; });
    cr_expect_eq(sum, 20'000);
}

Test(FiberThread, suspendsFiberUntilOperationCompletes)
{
    FiberThread thread("test");
    const bool didWait = thread.call([&] {
        boost::asio::steady_timer timer(thread.io(), std::chrono::milliseconds(5));
        timer.async_wait(useFiber);
        return timer.expiry() <= std::chrono::steady_clock::now();
    });
    cr_expect(didWait);
}

Test(FiberThread, storesErrorOfOperation)
{
    FiberThread thread("test");
    const bool isRefused = thread.call([&] {
        tcp::socket socket(thread.io());
        boost::system::error_code error;
        socket.async_connect({ boost::asio::ip::make_address("127.0.0.1"), 1 }, useFiber[error]);
        return error == boost::asio::error::connection_refused;
    });
    cr_expect(isRefused);
}

Test(FiberThread, pollsIoWhileFibersAreAlwaysReady)
{
    FiberThread thread("test");
    const bool didFire = thread.call([&] {
        bool isDone = false;
        spawnFiber([&] {
            boost::asio::steady_timer timer(thread.io(), std::chrono::milliseconds(1));
            timer.async_wait(useFiber);
            isDone = true;
        });
        for (int round = 0; round < 50'000'000 && !isDone; ++round)
            boost::this_fiber::yield();
        return isDone;
    });
    cr_expect(didFire);
}

Test(FiberThread, doesNotSpinWhileIdle)
{
    FiberThread thread("test");
    const std::clock_t before = std::clock();
    thread.call([&] {
        // One fiber sleeps for 60 s while I/O events arrive: each event must not re-arm the timer.
        spawnFiber([] { boost::this_fiber::sleep_for(std::chrono::seconds(60)); });
        for (int event = 0; event < 60; ++event) {
            boost::asio::steady_timer timer(thread.io(), std::chrono::milliseconds(10));
            timer.async_wait(useFiber);
        }
    });
    // CPU time of the process, which does not depend on the load of the machine.
    const double usedSeconds = static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC;
    cr_expect_lt(usedSeconds, 0.3, "the thread spins: %.3f s of CPU time in 0.6 s", usedSeconds);
}

Test(FiberThread, echoesBetweenManyFibers)
{
    constexpr int Connections = 50;
    FiberThread thread("test");
    const int echoed = thread.call([&] {
        tcp::acceptor acceptor(thread.io(), { boost::asio::ip::make_address("127.0.0.1"), 0 });
        spawnFiber([&] {
            for (int count = 0; count < Connections; ++count) {
                auto socket = std::make_shared<tcp::socket>(acceptor.async_accept(useFiber));
                spawnFiber([socket] {
                    char byte = 0;
                    boost::asio::async_read(*socket, boost::asio::buffer(&byte, 1), useFiber);
                    boost::asio::async_write(*socket, boost::asio::buffer(&byte, 1), useFiber);
                });
            }
        });
        int matched = 0;
        for (int count = 0; count < Connections; ++count) {
            tcp::socket socket(thread.io());
            socket.async_connect(acceptor.local_endpoint(), useFiber);
            char byte = static_cast<char>(count);
            boost::asio::async_write(socket, boost::asio::buffer(&byte, 1), useFiber);
            byte = -1;
            boost::asio::async_read(socket, boost::asio::buffer(&byte, 1), useFiber);
            matched += byte == static_cast<char>(count) ? 1 : 0;
        }
        return matched;
    });
    cr_expect_eq(echoed, Connections);
}

Test(Timeout, callsOnceOnExpiryAndNeverAfterDestruction)
{
    FiberThread thread("test");
    const auto [expiredCalls, destroyedCalls] = thread.call([&] {
        int expiredCalls = 0;
        int destroyedCalls = 0;
        const Timeout expiring(thread.io(), std::chrono::milliseconds(5), [&] { ++expiredCalls; });
        {
            const Timeout destroyed(thread.io(), std::chrono::milliseconds(1), [&] { ++destroyedCalls; });
            // Blocks the thread so that the timer expires before it is destroyed.
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        sleepFor(thread.io(), std::chrono::milliseconds(50));
        return std::pair(expiredCalls, destroyedCalls);
    });
    cr_expect_eq(expiredCalls, 1);
    cr_expect_eq(destroyedCalls, 0);
}

Test(Connect, returnsReasonOfFailure)
{
    FiberThread thread("test");
    const auto error = thread.call([&] {
        return connectWithin(thread.io(), { boost::asio::ip::make_address("127.0.0.1"), 1 }, std::chrono::seconds(5))
            .error();
    });
    cr_expect(error == boost::asio::error::connection_refused);
}

Test(AcceptEach, returnsWhenAcceptorIsClosed)
{
    FiberThread thread("test");
    const auto [accepted, didReturn] = thread.call([&] {
        tcp::acceptor acceptor(thread.io());
        cr_assert_not(listenOn(acceptor, { boost::asio::ip::make_address("127.0.0.1"), 18501 }));
        int accepted = 0;
        bool didReturn = false;
        spawnFiber([&] {
            acceptEach(acceptor, [&](const tcp::socket&) { ++accepted; });
            didReturn = true;
        });
        for (int count = 0; count < 3; ++count)
            cr_assert(connectWithin(thread.io(), acceptor.local_endpoint(), std::chrono::seconds(5)).has_value());
        for (int round = 0; round < 1'000 && accepted < 3; ++round)
            sleepFor(thread.io(), std::chrono::milliseconds(1));
        acceptor.close();
        sleepFor(thread.io(), std::chrono::milliseconds(20));
        return std::pair(accepted, didReturn);
    });
    cr_expect_eq(accepted, 3);
    cr_expect(didReturn);
}
