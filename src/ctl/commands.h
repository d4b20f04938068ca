#pragma once

#include <string>
#include <vector>

namespace flamingousher::ctl {

// Exit codes of flamingousherctl.
enum class ExitCode : int {
    Success = 0,
    Negative = 1, // faults found, not found or not yet in force
    Usage = 2,
    Unreachable = 3,
};

struct Options {
    std::vector<std::string> operators; // "address:port" of operators' ports
    bool isJson { false };
    std::uint64_t waitForRevision { 0 };
    std::uint32_t timeoutMs { 5'000 };
    std::uint32_t rounds { 0 }; // samples shown by top; 0: until interrupted
};

ExitCode checkTables(const std::string& routesFile, const std::string& poolsFile);
ExitCode diffTables(const std::vector<std::string>& files);

// Checks a configuration for a store before it is sent. Where inForce is set, compares it with that file; otherwise,
// where operators are asked, with what they have in force. vmSettings: settings file of a VM, for its memory and
// regions. Both may be empty.
ExitCode checkStoreConfiguration(const Options&, const std::string& file, const std::string& inForce,
    const std::string& vmSettings, bool asksOperators);
ExitCode showState(const Options&);
ExitCode showTop(const Options&);
ExitCode explainRequest(const Options&, const std::string& requestId);
ExitCode showConfiguration(const Options&);
ExitCode showPeers(const Options&);
ExitCode publishTables(
    const Options&, const std::string& platform, const std::string& routesFile, const std::string& poolsFile);

} // namespace flamingousher::ctl
