#pragma once

#include "http/internal/serverstate.h"
#include "http/types.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <memory>
#include <optional>
#include <string>

namespace flamingousher::http {

// One connection of a server: reads requests, has them handled and writes the responses, one after the other.
// Failure pattern: crowds of clients that send without end, or stop just short of the end of a request, and keep their
// connections open. Each is within the limits of one request, but not all of them together.
class Session : public std::enable_shared_from_this<Session> {
public:
    Session(std::shared_ptr<ServerState>, boost::asio::ip::tcp::socket);
    ~Session();
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    // Runs until the connection ends, in the calling fiber.
    void run();

    // Makes the connection give way to others, unless a request is being handled.
    void evict();

    // Ends the read in progress, and with it the connection.
    void cancel() { stream_.cancel(); }

    bool isEvicted() const { return isEvicted_; }
    bool hasUnreadData();
    Reading reading() const { return reading_; }
    const std::string& address() const { return address_; }

private:
    bool serveRequest(bool isFirst);
    bool readRequestStart();
    std::optional<Request> readRequest();
    boost::system::error_code readInto(std::optional<Request>&);
    // scope: exists until the response has been written.
    Exchange makeExchange(bool isFirst, const std::weak_ptr<Session*>& scope);
    Response handle(const Request&, Exchange&);
    bool write(Response&, const Exchange&);
    void refuseUnread(const boost::system::error_code& cause);
    void beginWaiting(Reading);
    void endWaiting();
    void openCharge();
    void updateCharge(std::size_t requestBytes);

    std::shared_ptr<ServerState> state_;
    boost::beast::tcp_stream stream_;
    std::string peer_; // "address:port"
    std::string address_;
    boost::beast::flat_buffer buffer_;
    ByteCharge charge_;
    Reading reading_ { Reading::NextRequest };
    std::uint64_t waitOrder_ { 0 }; // 0 while a request is handled
    bool isEvicted_ { false };
};

} // namespace flamingousher::http
