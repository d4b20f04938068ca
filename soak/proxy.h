#pragma once

#include "http/types.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <vector>

namespace flamingousher::soak {

// A loopback TCP proxy that injects network faults. Used on the thread of its I/O context.
class Proxy {
public:
    Proxy(boost::asio::io_context&, const http::Endpoint& target);

    boost::system::error_code listen(const http::Endpoint&);

    // Delays forwarded bytes.
    void setDelay(std::chrono::milliseconds delay) { state_->delay = delay; }

    // Holds back the bytes of the blocked directions; new connections also wait while forward is blocked.
    void setBlocked(bool forward, bool backward);

    // Resets all open connections. While refusing is set, new connections are reset too.
    void resetAll();
    void setRefusing(bool isRefusing) { state_->isRefusing = isRefusing; }

    // Resets new connections of the callers that the function names by their port. Those that are open live on.
    using CallerFilter = std::function<bool(std::uint16_t callerPort)>;
    void setRefusedCallers(CallerFilter isRefused) { state_->isRefused = std::move(isRefused); }

    // Resets the open connections of these callers.
    void resetRefusedCallers();

    // Keeps the currently open connections open but forwards nothing more on them.
    void stallOpenConnections();

private:
    struct Link {
        explicit Link(boost::asio::ip::tcp::socket accepted)
            : clientSide(std::move(accepted))
            , serverSide(clientSide.get_executor())
        {
        }

        void reset();
        bool isRefusedBy(const CallerFilter&) const;

        boost::asio::ip::tcp::socket clientSide;
        boost::asio::ip::tcp::socket serverSide;
        bool isStalled { false };
    };

    struct State {
        http::Endpoint target;
        std::chrono::milliseconds delay { 0 };
        bool isForwardBlocked { false };
        bool isBackwardBlocked { false };
        bool isRefusing { false };
        CallerFilter isRefused; // may be empty
        std::vector<std::weak_ptr<Link>> links;
    };

    static void serve(boost::asio::io_context&, const std::shared_ptr<State>&, const std::shared_ptr<Link>&);
    static void relay(
        boost::asio::io_context&, const std::shared_ptr<State>&, const std::shared_ptr<Link>&, bool isForward);
    std::vector<std::shared_ptr<Link>> openLinks();

    boost::asio::io_context& io_;
    std::shared_ptr<State> state_;
    std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
};

} // namespace flamingousher::soak
