#pragma once

#include "http/types.h"

#include <string>
#include <vector>

#include <sys/types.h>

namespace flamingousher::soak {

struct VmSpec {
    std::string daemon; // path of the program
    std::string folder; // for settings and log
    std::string name;
    std::string address; // IP number on loopback
    std::string zone;
    http::Endpoint store;
    std::vector<std::string> seeds;
    double retrySlack { 30 };

    bool operator==(const VmSpec&) const = default;
};

inline constexpr std::uint16_t CallersPort = 8226;
inline constexpr std::uint16_t ReadinessPort = 8227;
inline constexpr std::uint16_t GossipPort = 8224;
inline constexpr std::uint16_t OperatorsPort = 9180;

// One process of the product. Signals go to the process that this object has started, and to no other.
class VmProcess {
public:
    explicit VmProcess(VmSpec);
    ~VmProcess();
    VmProcess(const VmProcess&) = delete;
    VmProcess& operator=(const VmProcess&) = delete;

    void start();
    void signal(int number);

    // False once the process has ended; its end is collected.
    bool isRunning();

    // How often it has been started.
    std::uint32_t starts() const { return starts_; }

    // The exit status of the last end as the system tells it.
    int lastStatus() const { return lastStatus_; }
    const VmSpec& spec() const { return spec_; }

private:
    void writeSettings() const;

    VmSpec spec_;
    pid_t process_ { 0 };
    std::uint32_t starts_ { 0 };
    int lastStatus_ { 0 };
};

} // namespace flamingousher::soak
