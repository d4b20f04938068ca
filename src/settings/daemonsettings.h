#pragma once

#include "base/error.h"
#include "http/types.h"

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace flamingousher::settings {

// Settings of one process. What all processes of the fleet share is in the tables.
struct DaemonSettings {
    std::string name; // [node] name: human-readable, unique in the fleet
    std::string address; // [node] address: IP address for peers
    std::string zone; // [node] zone: availability zone
    std::string region; // [node] region
    http::Endpoint callers; // [listen] callers
    http::Endpoint peers; // [listen] peers: first of 1 + trafficThreads consecutive ports
    http::Endpoint operators; // [listen] operators
    http::Endpoint configuration; // [platform] configuration
    http::Endpoint vms; // [platform] vms
    std::string peerKey; // [peers] key: shared secret of the fleet, at least 16 characters
    std::uint32_t trafficThreads { 1 }; // [threads] traffic
    std::uint32_t readinessNoticeMs { 2'000 }; // [node] readiness_notice_ms
    std::uint32_t shutdownTimeoutMs { 20'000 }; // [node] shutdown_timeout_ms
    std::string logLevel { "info" }; // [log] level
    std::string logFormat { "text" }; // [log] format: text or json

    bool operator==(const DaemonSettings&) const = default;
};

// Reads and validates a settings file. On failure returns all faults, each with file, section and key.
tl::expected<DaemonSettings, std::vector<std::string>> loadSettings(const std::string& file);

tl::expected<DaemonSettings, std::vector<std::string>> parseSettings(const std::string& file, const std::string& text);

} // namespace flamingousher::settings
