#include "base/error.h"

namespace flamingousher::base {

std::string_view toString(Step step)
{
    switch (step) {
    case Step::Settings:
        return "settings";
    case Step::Tables:
        return "tables";
    case Step::Routing:
        return "routing";
    case Step::Admission:
        return "admission";
    case Step::Queue:
        return "queue";
    case Step::Connect:
        return "connect";
    case Step::Send:
        return "send";
    case Step::Receive:
        return "receive";
    case Step::Decode:
        return "decode";
    case Step::Identity:
        return "identity";
    case Step::Configuration:
        return "configuration";
    case Step::Peer:
        return "peer";
    }
    return "invalid";
}

std::string_view toString(ErrorCode code)
{
    switch (code) {
    case ErrorCode::BadRequest:
        return "bad_request";
    case ErrorCode::NoRoute:
        return "no_route";
    case ErrorCode::Overloaded:
        return "overloaded";
    case ErrorCode::DeadlineExceeded:
        return "deadline_exceeded";
    case ErrorCode::Unreachable:
        return "unreachable";
    case ErrorCode::ConnectionLost:
        return "connection_lost";
    case ErrorCode::ProtocolViolation:
        return "protocol_violation";
    case ErrorCode::VersionNotServed:
        return "version_not_served";
    case ErrorCode::Draining:
        return "draining";
    case ErrorCode::Shed:
        return "shed";
    case ErrorCode::CoverageTooLow:
        return "coverage_too_low";
    case ErrorCode::IdentityRequired:
        return "identity_required";
    case ErrorCode::IdentityUnverifiable:
        return "identity_unverifiable";
    case ErrorCode::Quarantined:
        return "quarantined";
    case ErrorCode::Cancelled:
        return "cancelled";
    case ErrorCode::NotReady:
        return "not_ready";
    case ErrorCode::UpstreamCrashed:
        return "upstream_crashed";
    case ErrorCode::Invalid:
        return "invalid";
    }
    return "invalid";
}

std::string toString(const Error& error)
{
    std::string text { toString(error.step) };
    text += ' ';
    text += error.peer;
    text += ": ";
    text += toString(error.code);
    text += " (";
    text += error.detail;
    text += ") [";
    text += toString(error.runState);
    text += ']';
    return text;
}

} // namespace flamingousher::base
