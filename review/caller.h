#pragma once

#include "review/world.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <optional>

#include <string>

namespace flamingousher::review {

// A request of a caller.
struct Call {
    std::string id;
    std::string route; // name, for the record
    std::string host;
    std::string path;
    std::string body; // POST if not empty
    std::chrono::milliseconds timeLimit { 0 };
};

struct Outcome {
    Call call;
    std::size_t vm { 0 };
    base::TimePoint sentAt; // when the last byte had been sent
    base::TimePoint endedAt;
    bool isSent { false };
    bool isTimedOut { false };
    bool hasAnswer { false }; // a complete one
    http::Response answer;

    // Returns whether the VM closed the connection after the whole request without a complete answer.
    bool isCut() const { return isSent && !hasAnswer && !isTimedOut; }
};

// A connection of a caller to a VM, kept open for many requests.
class Caller {
public:
    Caller(World&, std::size_t vm);

    // Sends the request and waits for the answer. Opens the connection first if it isn't open.
    Outcome send(const Call&);

private:
    bool connect();
    http::Request makeRequest(const Call&) const;

    World& world_;
    std::size_t vm_;
    std::optional<boost::beast::tcp_stream> stream_;
    boost::beast::flat_buffer buffer_;
};

} // namespace flamingousher::review
