#pragma once

#include "http/types.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace flamingousher::trial {

// What the clients of a crowd send, all of it outside the limits or without end.
enum class Bytes {
    Trailers, // fields without end behind a chunked body
    Heads, // fields without end in a head
    LargeChunks, // a body in chunks of 32 KiB that stops just short of the limit
    SmallChunks, // a body in chunks of one byte that stops just short of its end
    Length, // a body of a stated length that stops just short of it
    Silence, // nothing
    Pipeline, // requests one behind the other, whose responses are not read
};

std::optional<Bytes> parseBytes(std::string_view);

// Clients that send to one address, each over its own connection, and keep the connections open.
class Crowd {
public:
    // host: of the requests. bodyLimit: that the server states, in bytes.
    Crowd(const http::Endpoint&, Bytes, const std::string& host, std::size_t bodyLimit);
    ~Crowd();
    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    // Sends until each client has sent all, is blocked or has lost its connection.
    void send();

    std::size_t clients() const { return clients_.size(); }
    std::size_t closedByServer() const;

private:
    struct Client {
        int socket { -1 };
        std::size_t step { 0 }; // of the script
        std::string pending; // not sent yet
        bool isDone { false };
        bool isClosed { false };
    };

    bool connect(Client&) const;
    void advance(Client&);
    std::string next(std::size_t step) const;

    http::Endpoint server_;
    Bytes bytes_;
    std::string host_;
    std::size_t bodyLimit_;
    std::vector<Client> clients_;
};

} // namespace flamingousher::trial
