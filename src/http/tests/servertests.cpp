#include "http/client.h"
#include "http/server.h"
#include "runtime/fiberthread.h"
#include "runtime/usefiber.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <criterion/criterion.h>

#include <random>

using namespace flamingousher;
using namespace flamingousher::http;
using boost::beast::http::verb;
using runtime::useFiber;

namespace {

const Endpoint AnyPort { boost::asio::ip::make_address("127.0.0.1"), 0 };

Response echo(const Request& request, Exchange&)
{
    return makeResponse(request, Status::ok, "text/plain", std::string(request.target()) + request.body());
}

// Sends raw bytes, closes the sending side and reads the start of the response.
void sendBytes(boost::asio::io_context& io, const Endpoint& endpoint, const std::string& bytes)
{
    boost::asio::ip::tcp::socket socket(io);
    boost::system::error_code error;
    socket.async_connect(endpoint, useFiber[error]);
    boost::asio::async_write(socket, boost::asio::buffer(bytes), useFiber[error]);
    socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, error);
    char reply[512];
    socket.async_read_some(boost::asio::buffer(reply), useFiber[error]);
}

} // namespace

Test(HttpTarget, decodesParameters)
{
    const Target target = parseTarget("/slings?q=ring%20sling&k=5");
    cr_expect_eq(target.path, "/slings");
    cr_expect_eq(target.parameter("q"), "ring sling");
    cr_expect_eq(target.parameter("k", "10"), "5");
    cr_expect_eq(parseTarget("/a?q=" + encodeParameter("x&y=z +%")).parameter("q"), "x&y=z +%");
}

Test(HttpClient, parsesEndpointsWithIpAddressOnly)
{
    cr_expect(parseEndpoint("127.0.0.1:80").has_value());
    cr_expect_not(parseEndpoint("localhost:80").has_value());
    cr_expect_not(parseEndpoint("127.0.0.1").has_value());
    cr_expect_not(parseEndpoint("127.0.0.1:99999").has_value());
}

Test(HttpServer, answersRequest)
{
    runtime::FiberThread thread("test");
    const std::string body = thread.call([&] {
        Server server(thread.io(), {}, echo);
        server.listen(AnyPort);
        return fetch(thread.io(), server.localEndpoint(), makeRequest(verb::post, "/a", "b"), std::chrono::seconds(5))
            ->body();
    });
    cr_expect_eq(body, "/ab");
}

Test(HttpServer, refusesOversizedBody)
{
    runtime::FiberThread thread("test");
    const auto [status, counted] = thread.call([&] {
        Server server(thread.io(), { .bodyBytes = 100 }, echo);
        server.listen(AnyPort);
        const auto response = fetch(thread.io(), server.localEndpoint(),
            makeRequest(verb::post, "/a", std::string(200, 'x')), std::chrono::seconds(5));
        return std::pair(response->result(), server.counters().oversizedRequests);
    });
    cr_expect_eq(status, Status::payload_too_large);
    cr_expect_eq(counted, 1u);
}

Test(HttpServer, staysUpAfterMalformedInput)
{
    runtime::FiberThread thread("test");
    const auto [malformed, isServing] = thread.call([&] {
        Server server(thread.io(), {}, echo);
        server.listen(AnyPort);
        std::mt19937_64 random(7);
        for (int round = 0; round < 1000; ++round) {
            std::string bytes(1 + random() % 200, '\0');
            for (char& byte : bytes)
                byte = static_cast<char>(random());
            sendBytes(thread.io(), server.localEndpoint(), bytes + "\r\n\r\n");
        }
        const auto response
            = fetch(thread.io(), server.localEndpoint(), makeRequest(verb::get, "/a"), std::chrono::seconds(5));
        return std::pair(server.counters().malformedRequests, response.has_value() && response->body() == "/a");
    });
    cr_expect_geq(malformed, 990u);
    cr_expect(isServing);
}

Test(HttpServer, notifiesHandlerWhenPeerDisconnects)
{
    runtime::FiberThread thread("test");
    const bool didNotify = thread.call([&] {
        bool isDisconnected = false;
        Server server(thread.io(), {}, [&](const Request& request, Exchange& exchange) {
            exchange.onPeerGone = [&] { isDisconnected = true; };
            while (!isDisconnected) {
                boost::asio::steady_timer timer(thread.io(), std::chrono::milliseconds(1));
                timer.async_wait(useFiber);
            }
            return makeResponse(request, Status::ok, "text/plain", {});
        });
        server.listen(AnyPort);
        {
            boost::asio::ip::tcp::socket socket(thread.io());
            socket.async_connect(server.localEndpoint(), useFiber);
            const std::string request = "GET / HTTP/1.1\r\n\r\n";
            boost::asio::async_write(socket, boost::asio::buffer(request), useFiber);
        }
        while (!isDisconnected) {
            boost::asio::steady_timer timer(thread.io(), std::chrono::milliseconds(1));
            timer.async_wait(useFiber);
        }
        return isDisconnected;
    });
    cr_expect(didNotify);
}

Test(HttpServer, finishesRequestInProgressOnShutdown)
{
    runtime::FiberThread thread("test");
    const bool didFinish = thread.call([&] {
        bool isStarted = false;
        Server server(thread.io(), {}, [&](const Request& request, Exchange&) {
            isStarted = true;
            boost::asio::steady_timer timer(thread.io(), std::chrono::milliseconds(20));
            timer.async_wait(useFiber);
            return makeResponse(request, Status::ok, "text/plain", "whole");
        });
        server.listen(AnyPort);
        const Endpoint endpoint = server.localEndpoint();
        runtime::spawnFiber([&] {
            while (!isStarted) {
                boost::asio::steady_timer timer(thread.io(), std::chrono::milliseconds(1));
                timer.async_wait(useFiber);
            }
            server.beginShutdown();
        });
        const auto response = fetch(thread.io(), endpoint, makeRequest(verb::get, "/"), std::chrono::seconds(5));
        return response.has_value() && response->body() == "whole" && server.isIdle();
    });
    cr_expect(didFinish);
}

Test(HttpServer, passesRoundTripTimeAndFirstRequestFlagToHandler)
{
    runtime::FiberThread thread("test");
    std::vector<Exchange> exchanges;
    thread.call([&] {
        Server server(thread.io(), {}, [&](const Request& request, Exchange& exchange) {
            exchanges.push_back(exchange);
            return echo(request, exchange);
        });
        server.listen(AnyPort);
        boost::asio::ip::tcp::socket socket(thread.io());
        boost::system::error_code error;
        socket.async_connect(server.localEndpoint(), useFiber[error]);
        for (int i = 0; i < 2; ++i) {
            const std::string request = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n";
            boost::asio::async_write(socket, boost::asio::buffer(request), useFiber[error]);
            char reply[512];
            socket.async_read_some(boost::asio::buffer(reply), useFiber[error]);
        }
    });
    cr_assert_eq(exchanges.size(), 2);
    cr_expect(exchanges[0].isFirst);
    cr_expect_not(exchanges[1].isFirst);
    cr_expect(exchanges[1].roundTrip && *exchanges[1].roundTrip > std::chrono::microseconds::zero());
}
