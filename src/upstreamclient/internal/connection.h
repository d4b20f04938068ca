#pragma once

#include "http/parser.h"
#include "upstreamclient/connectionpool.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <optional>

namespace flamingousher::upstreamclient {

// One connection to an upstream. Its fiber reads continuously, which detects a close or unsolicited bytes while the
// connection is idle.
class Connection : public std::enable_shared_from_this<Connection> {
public:
    Connection(boost::asio::io_context&, std::shared_ptr<ConnectionPool>);

    // Opens the connection and reads until it closes.
    void run();

    // Sends the attempt immediately, or as soon as the connection is open.
    void start(const Attempt&, AttemptCallback);

    // Closes the connection, and fails its attempt with an error.
    void close(const char* reason);

    // Drops the attempt; the connection can be reused once the answer has arrived. Returns false if the attempt isn't
    // on this connection.
    bool drop(AttemptId);

    // Returns whether bytes have arrived for the attempt that this process has not read yet.
    bool hasUnreadData(AttemptId) const;

    bool isFree() const { return isOpen_ && !attempt_ && !isClosing_ && !isStale(); }
    bool isOpening() const { return !isOpen_ && !isClosing_; }
    bool isEstablished() const { return isOpen_ && !isClosing_; }
    bool isBusy() const { return attempt_.has_value(); }
    bool isOverdue(base::TimePoint now) const;

    // Returns whether the upstream has responded on this connection, or has at least not reset it for some time.
    bool isProven(base::TimePoint now) const;
    base::TimePoint openedAt() const { return openedAt_; }
    base::TimePoint sentAt() const { return sentAt_; }
    base::TimePoint lastProgress() const { return lastProgress_; }

private:
    bool connect();
    void write();
    void finishWrite(std::string rest);
    bool isWithinByteLimit() const;
    void charge(std::size_t bytes);
    void evict();
    bool parseReceived();
    bool parseEnd();
    bool guardErrors(const std::function<bool()>& handle);
    bool onResponse(http::Response&&);
    void finishAttempt(AttemptResult);
    void fail(base::ErrorCode, base::Step, const std::string& detail, base::RunState);
    bool isStale() const;
    void onReadEnded(const boost::system::error_code&);
    std::string endReason(const boost::system::error_code&) const;

    std::shared_ptr<ConnectionPool> pool_;
    boost::asio::io_context& io_;
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::optional<http::ResponseParser> parser_;
    std::optional<Attempt> attempt_;
    AttemptCallback callback_; // empty after the attempt is dropped
    std::string closeReason_;
    std::string invalidity_; // why what has been received is no valid response
    boost::system::error_code connectError_;
    base::TimePoint openedAt_;
    base::TimePoint sentAt_;
    base::TimePoint droppedAt_;
    base::TimePoint lastProgress_;
    std::optional<base::Duration> idleTimeout_;
    std::uint64_t responseCount_ { 0 };
    std::size_t attemptBytes_ { 0 }; // received during the attempt, including interim and unmatched responses
    std::shared_ptr<balancing::MemoryBudget::Charge> memory_; // for what is held of them; null until the first
    bool isOpen_ { false };
    bool isClosing_ { false };
    bool mayHaveBeenSent_ { false }; // some bytes may have reached the upstream
    bool isWriting_ { false };
    bool isEvicted_ { false }; // the VM held too many bytes of responses
};

} // namespace flamingousher::upstreamclient
