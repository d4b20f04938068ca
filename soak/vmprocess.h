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
    std::string address; // loopback IP address
    std::string zone;
    http::Endpoint store;
    std::vector<std::string> seeds;
    double processor { 0 }; // stated share of a core
    double retrySlack { 30 };
    double memoryMb { 0 }; // 0: not stated

    bool operator==(const VmSpec&) const = default;
};

inline constexpr std::uint16_t CallersPort = 8226;
inline constexpr std::uint16_t ReadinessPort = 8227;
inline constexpr std::uint16_t GossipPort = 8224;
inline constexpr std::uint16_t OperatorsPort = 9180;
inline constexpr std::uint16_t FanoutsPort = 7740;

// One process of the product. Signals are sent only to the process started by this object.
class VmProcess {
public:
    explicit VmProcess(VmSpec);
    ~VmProcess();
    VmProcess(const VmProcess&) = delete;
    VmProcess& operator=(const VmProcess&) = delete;

    void start();
    void signal(int number);

    // Returns false once the process has ended; reaps it.
    bool isRunning();

    // Returns 0 if the process is not running.
    pid_t id() const { return process_; }

    // Number of starts so far.
    std::uint32_t startCount() const { return startCount_; }

    // Wait status of the last exit, as reported by waitpid().
    int lastStatus() const { return lastStatus_; }
    const VmSpec& spec() const { return spec_; }

private:
    void writeSettings() const;

    VmSpec spec_;
    pid_t process_ { 0 };
    std::uint32_t startCount_ { 0 };
    int lastStatus_ { 0 };
};

} // namespace flamingousher::soak
