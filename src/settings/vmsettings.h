#pragma once

#include "base/types.h"
#include "http/types.h"

#include <tl/expected.hpp>

#include <map>
#include <string>
#include <vector>

namespace flamingousher::settings {

// Where a process finds its configuration and upstreams.
enum class PlatformKind : std::uint8_t {
    Tables, // services for the tables and the list of VMs; settings are DaemonSettings
    Store, // one metadata store that can only be read; settings are VmSettings
};

// Settings of one process on a platform with a metadata store. Upstreams are used directly from every VM.
struct VmSettings {
    std::string name; // [node] name: unique in the fleet, for people
    std::string address; // [node] address: IP number
    std::string zone; // [node] zone: availability zone
    std::string region; // [node] region
    std::chrono::milliseconds shutdownTime { 6'000 }; // [node] shutdown_ms: from SIGTERM to SIGKILL
    std::map<std::string, std::string> regions; // [node] zones: "ZONE=REGION, ..."
    http::Endpoint callers; // [listen] callers
    http::Endpoint readiness; // [listen] readiness: asked by the balancer
    http::Endpoint operators; // [listen] operators
    http::Endpoint store; // [platform] store
    http::Endpoint gossip; // [peers] gossip: datagrams of the other VMs
    std::string peerKey; // [peers] key: shared secret of the fleet, at least 16 characters
    std::vector<std::string> seeds; // [peers] seeds: "IP:port" of VMs that may be alive, separated by commas
    double retryRatio { 0.2 }; // [retries] ratio: extra attempts for each request at a service
    double retrySlack { 0 }; // [retries] slack: extra attempts in a window whatever the requests
    std::chrono::milliseconds retryWindow { 10'000 }; // [retries] window_ms

    bool operator==(const VmSettings&) const = default;
};

// Reads [platform] kind. A text without it, or a file that cannot be read, is of the kind Tables.
PlatformKind platformKind(const std::string& text);
PlatformKind loadPlatformKind(const std::string& file);

// Reads and checks a settings file. On failure lists every fault, each naming file, section and key.
tl::expected<VmSettings, std::vector<std::string>> loadVmSettings(const std::string& file);
tl::expected<VmSettings, std::vector<std::string>> parseVmSettings(const std::string& file, const std::string& text);

} // namespace flamingousher::settings
