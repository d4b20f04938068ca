#pragma once

#include "http/types.h"
#include "runtime/fiberthread.h"
#include "runtime/listen.h"
#include "runtime/usefiber.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <functional>
#include <memory>
#include <string>

namespace flamingousher::upstreamclient {

// Server side of a connection, scripted byte by byte by a test.
class RawConnection {
public:
    explicit RawConnection(boost::asio::ip::tcp::socket socket)
        : socket_(std::move(socket))
    {
    }

    // Reads one request's header. Returns an empty string at the end of the connection.
    std::string readHead()
    {
        boost::system::error_code error;
        while (received_.find("\r\n\r\n") == std::string::npos) {
            char bytes[2'048];
            const std::size_t count = socket_.async_read_some(boost::asio::buffer(bytes), runtime::useFiber[error]);
            if (error)
                return {};
            received_.append(bytes, count);
        }
        const std::size_t end = received_.find("\r\n\r\n") + 4;
        std::string head = received_.substr(0, end);
        received_.erase(0, end);
        return head;
    }

    // Returns false when the peer has closed the connection.
    bool write(const std::string& bytes)
    {
        boost::system::error_code error;
        boost::asio::async_write(socket_, boost::asio::buffer(bytes), runtime::useFiber[error]);
        return !error;
    }

    void pause(std::chrono::milliseconds time)
    {
        boost::asio::steady_timer timer(socket_.get_executor(), time);
        boost::system::error_code ignored;
        timer.async_wait(runtime::useFiber[ignored]);
    }

    void reset()
    {
        boost::system::error_code error;
        socket_.set_option(boost::asio::socket_base::linger(true, 0), error);
        socket_.close(error);
    }

    void close()
    {
        boost::system::error_code error;
        socket_.close(error);
    }

private:
    boost::asio::ip::tcp::socket socket_;
    std::string received_;
};

// Accepts connections and runs a script on each in a separate fiber.
class RawServer {
public:
    using Script = std::function<void(RawConnection&)>;

    RawServer(boost::asio::io_context& io, Script script)
        : acceptor_(std::make_shared<boost::asio::ip::tcp::acceptor>(io))
    {
        runtime::listenOn(*acceptor_, { boost::asio::ip::make_address("127.0.0.1"), 0 });
        runtime::spawnFiber([this, acceptor = acceptor_, script = std::move(script)] {
            runtime::acceptEach(*acceptor, [&](boost::asio::ip::tcp::socket socket) {
                ++accepted_;
                auto connection = std::make_shared<RawConnection>(std::move(socket));
                runtime::spawnFiber([connection, script] { script(*connection); });
            });
        });
    }

    http::Endpoint endpoint() const { return acceptor_->local_endpoint(); }
    int accepted() const { return accepted_; }

    // Closes the port; connections that are open stay so.
    void close()
    {
        boost::system::error_code error;
        acceptor_->close(error);
    }

private:
    std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
    int accepted_ { 0 };
};

} // namespace flamingousher::upstreamclient
