#pragma once

#include "http/types.h"

#include <cstdint>
#include <map>
#include <string>

namespace flamingousher::http {

class Session;

// What a connection waits for while no request is handled on it.
enum class Reading : std::uint8_t {
    NextRequest,
    RestOfRequest,
};

// State of a server. Shared with its sessions, which may outlive it.
struct ServerState {
    // Closes the sessions that wait for this. What has arrived on a connection that waits for a request is still read.
    void closeReading(Reading) const;

    // Closes the connection that has waited longest, of the address with the most connections. Returns false if none
    // waits.
    bool closeLongestWaiting();

    ServerLimits limits;
    Handler handler;
    OpenByteCharge openCharge; // may be empty
    ServerCounters counters;
    std::size_t requestsInProgress { 0 };
    bool isStopping { false };
    bool isClosingIdle { false }; // connections without a request close at once
    std::map<std::uint64_t, Session*> waiting; // sessions that read, by the order in which they began to
    std::map<std::string, std::size_t> connectionsByAddress;
    std::uint64_t lastWait { 0 };
};

} // namespace flamingousher::http
