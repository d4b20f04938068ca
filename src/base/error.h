#pragma once

#include "base/types.h"

#include <string>
#include <string_view>

namespace flamingousher::base {

// Step of request processing in which an error occurred.
enum class Step : std::uint8_t {
    Settings,
    Tables,
    Routing,
    Admission,
    Queue,
    Connect,
    Send,
    Receive,
    Decode,
    Identity,
    Configuration,
    Peer,
};

enum class ErrorCode : std::uint8_t {
    BadRequest,
    NoRoute,
    Overloaded,
    DeadlineExceeded,
    Unreachable,
    ConnectionLost,
    ProtocolViolation,
    VersionNotServed,
    Draining,
    Shed,
    CoverageTooLow,
    IdentityRequired,
    IdentityUnverifiable,
    Quarantined,
    Cancelled,
    NotReady,
    UpstreamCrashed,
    Invalid,
};

// An error with the step and the peer where it occurred. The peer is "IP:port", a name or a file.
struct Error {
    ErrorCode code { ErrorCode::Invalid };
    Step step { Step::Routing };
    std::string peer;
    std::string detail;
    RunState runState { RunState::NotRun };

    bool operator==(const Error&) const = default;
};

std::string_view toString(Step);
std::string_view toString(ErrorCode);

// Returns one line: "step peer: code (detail) [run state]".
std::string toString(const Error&);

} // namespace flamingousher::base
