#pragma once

#include "base/types.h"
#include "http/types.h"

#include <tl/expected.hpp>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace flamingousher::settings {

// Source of the configuration and the upstreams of a process.
enum class PlatformKind : std::uint8_t {
    Tables, // services for the tables and the list of VMs; uses DaemonSettings
    Store, // one read-only metadata store; uses VmSettings
};

// Settings of one process on a platform with a metadata store, where every VM connects to the upstreams directly.
struct VmSettings {
    std::string name; // [node] name: human-readable, unique in the fleet
    std::string address; // [node] address: IP address
    std::string zone; // [node] zone: availability zone
    std::string region; // [node] region
    double processor { 0 }; // [node] processor: share of the VM's processor in cores; 0 when unknown
    double memoryMb { 160 }; // [node] memory_mb: limit of the process's memory
    std::uint32_t maxDescriptors { 0 }; // [node] max_fds: limit of the process's open files; 0: as the kernel says
    std::chrono::milliseconds shutdownTime { 6'000 }; // [node] shutdown_ms: time from SIGTERM to SIGKILL
    std::map<std::string, std::string> regions; // [node] zones: "ZONE=REGION, ..."
    http::Endpoint callers; // [listen] callers
    http::Endpoint readiness; // [listen] readiness: polled by the load balancer
    http::Endpoint operators; // [listen] operators
    std::optional<http::Endpoint> fanouts; // [listen] fanouts: accepts requests delegated by other VMs
    http::Endpoint store; // [platform] store
    http::Endpoint gossip; // [peers] gossip: receives datagrams of the other VMs
    std::string peerKey; // [peers] key: shared secret of the fleet, at least 16 characters
    std::vector<std::string> seeds; // [peers] seeds: comma-separated "IP:port" of VMs to contact first; may be down
    double retryRatio { 0.2 }; // [retries] ratio: extra attempts allowed per request to a service
    double retrySlack { 0 }; // [retries] slack: extra attempts allowed per window regardless of requests
    std::chrono::milliseconds retryWindow { 10'000 }; // [retries] window_ms
    double warmUpFactor { 1 }; // [warmup] factor: of the rate that a service states for its cold upstreams
    double warmUpSlack { 0 }; // [warmup] slack: requests a second to a cold upstream beyond it, from all VMs

    bool operator==(const VmSettings&) const = default;
};

// Return the value of [platform] kind, or Tables if the key is missing or the file cannot be read.
PlatformKind platformKind(const std::string& text);
PlatformKind loadPlatformKind(const std::string& file);

// Reads and validates a settings file. On failure returns all faults, each with file, section and key.
tl::expected<VmSettings, std::vector<std::string>> loadVmSettings(const std::string& file);
tl::expected<VmSettings, std::vector<std::string>> parseVmSettings(const std::string& file, const std::string& text);

} // namespace flamingousher::settings
