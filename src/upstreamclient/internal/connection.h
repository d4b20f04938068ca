#pragma once

#include "upstreamclient/connectionpool.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <optional>

namespace flamingousher::upstreamclient {

// One connection to an upstream. Its fiber reads all the time, so that a close or bytes that no request has asked for
// are noticed while it is idle.
class Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(boost::asio::io_context&, std::shared_ptr<ConnectionPool>);

    // Opens the connection and reads until it closes.
    void run();

    // Sends at once, or as soon as the connection is open.
    void start(const Attempt&, AttemptCallback);

    // Ends the connection, and its attempt with an error.
    void close(const char* reason);

    // Lets go of the attempt; the connection is used again when the answer is in.
    bool drop(AttemptId);

    bool isFree() const { return isOpen_ && !attempt_ && !isClosing_ && !isStale(); }
    bool isOpening() const { return !isOpen_ && !isClosing_; }
    bool isBusy() const { return attempt_.has_value(); }
    bool isSilent(base::TimePoint now) const;
    base::TimePoint sentAt() const { return sentAt_; }
    base::TimePoint lastProgress() const { return lastProgress_; }

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    bool connect();
    void write();
    void finishWrite(std::string rest);
    bool consume();
    bool complete(http::Response&&);
    void endAttempt(AttemptResult);
    void fail(base::ErrorCode, base::Step, const std::string& detail, base::RunState);
    bool isStale() const;
    void onReadEnded(const boost::system::error_code&);

    std::shared_ptr<ConnectionPool> pool_;
    boost::asio::io_context& io_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<Parser> parser_;
    std::optional<Attempt> attempt_;
    AttemptCallback callback_; // empty once the attempt has been dropped
    std::string closeReason_;
    base::TimePoint openedAt_;
    base::TimePoint sentAt_;
    base::TimePoint droppedAt_;
    base::TimePoint lastProgress_;
    std::optional<base::Duration> idleTimeout_;
    std::uint64_t answers_ { 0 };
    bool isOpen_ { false };
    bool isClosing_ { false };
    bool isWritten_ { false }; // some byte of the attempt may have reached the upstream
    bool isWriting_ { false };
};

} // namespace flamingousher::upstreamclient
