#pragma once

#include "soak/deployment.h"
#include "soak/draw.h"

#include <boost/beast/core/tcp_stream.hpp>

namespace flamingousher::soak {

// Simulates callers that each send one request at a time and reuse their connections. Used on one thread.
class Callers {
public:
    Callers(boost::asio::io_context&, Deployment&, Promises&, std::function<TimePoint()> now, std::uint64_t seed);

    void start(std::size_t count);
    void stop() { isStopping_ = true; }
    std::size_t sent() const { return sent_; }

private:
    void run();
    void useConnection(std::size_t vm);
    bool exchange(boost::beast::tcp_stream&, std::size_t vm, std::uint32_t start);

    boost::asio::io_context& io_;
    Deployment& deployment_;
    Promises& promises_;
    std::function<TimePoint()> now_;
    Draw draw_;
    std::size_t sent_ { 0 };
    bool isStopping_ { false };
};

} // namespace flamingousher::soak
