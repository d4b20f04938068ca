#pragma once

#include "http/types.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <vector>

namespace flamingousher::soak {

// A loopback TCP proxy that disturbs what passes. Used on the thread of its I/O context.
class Proxy {
public:
    Proxy(boost::asio::io_context&, const http::Endpoint& target);

    boost::system::error_code listen(const http::Endpoint&);

    // Bytes are handed on so much later.
    void setDelay(std::chrono::milliseconds delay) { state_->delay = delay; }

    // Bytes of one direction are held back for as long as it is cut; new connections too when forward is cut.
    void setCut(bool forward, bool backward);

    // Resets all connections; with refusing, also the new ones.
    void resetAll();
    void setRefusing(bool isRefusing) { state_->isRefusing = isRefusing; }

    // The connections that are open now stay open and hand on nothing more.
    void silenceOpen();

private:
    struct Link {
        explicit Link(boost::asio::ip::tcp::socket accepted)
            : near(std::move(accepted))
            , far(near.get_executor())
        {
        }

        void reset();

        boost::asio::ip::tcp::socket near;
        boost::asio::ip::tcp::socket far;
        bool isSilent { false };
    };

    struct State {
        http::Endpoint target;
        std::chrono::milliseconds delay { 0 };
        bool isForwardCut { false };
        bool isBackwardCut { false };
        bool isRefusing { false };
        std::vector<std::weak_ptr<Link>> links;
    };

    static void serve(boost::asio::io_context&, const std::shared_ptr<State>&, const std::shared_ptr<Link>&);
    static void pass(
        boost::asio::io_context&, const std::shared_ptr<State>&, const std::shared_ptr<Link>&, bool isForward);
    std::vector<std::shared_ptr<Link>> openLinks();

    boost::asio::io_context& io_;
    std::shared_ptr<State> state_;
    std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
};

} // namespace flamingousher::soak
