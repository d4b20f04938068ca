#pragma once

#include "platform/standins/storestandin.h"
#include "review/searcher.h"
#include "routing/types.h"
#include "soak/vmprocess.h"

#include <memory>
#include <string>
#include <vector>

namespace flamingousher::review {

// Arguments of a case.
struct CaseOptions {
    std::string daemon; // path of flamingousherd
    std::string folder; // for settings and logs of the VMs
    std::uint32_t slot { 0 }; // of the loopback addresses
    bool hasTrouble { true };
};

// Outcome of a case, and exit status of its script.
enum class Verdict : std::uint8_t {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

// An end of a VM's process that nobody asked for.
struct ProcessEnd {
    std::size_t vm { 0 };
    base::TimePoint noticedAt;
    int status { 0 }; // as reported by waitpid()
};

// Returns the first slot of loopback addresses, from the given one on, that no other world uses.
std::uint32_t findFreeSlot(boost::asio::io_context&, std::uint32_t first);

// The platform's store, the searchers, and the VMs of a small deployment, on loopback addresses.
class World {
public:
    World(boost::asio::io_context&, Record&, const CaseOptions&);

    void addSearcher(const SearcherSpec&);

    // Publishes the searchers and the configuration, and starts the VMs. Returns false if they do not become ready.
    bool start(std::size_t vmCount, const routing::Configuration&);

    // Writes the configuration to the store. The store's answer is the acknowledgement.
    void publish(const routing::Configuration&);

    // Notes processes that have ended by themselves, and starts them again as the platform does.
    void superviseProcesses();

    void stop();

    const std::vector<std::unique_ptr<Searcher>>& searchers() const { return searchers_; }
    std::size_t vmCount() const { return vms_.size(); }
    http::Endpoint callersEndpoint(std::size_t vm) const;
    const std::vector<ProcessEnd>& processEnds() const { return processEnds_; }
    Record& record() { return record_; }
    boost::asio::io_context& io() { return io_; }
    bool isStopping() const { return isStopping_; }

private:
    std::string address(std::uint32_t group, std::size_t index) const;
    std::string endpoint(std::uint32_t group, std::size_t index, std::uint16_t port) const;
    void reportSearchers();
    void startProcess(std::size_t vm);
    bool awaitReadiness();
    bool isReady(std::size_t vm);

    boost::asio::io_context& io_;
    Record& record_;
    CaseOptions options_;
    platform::StoreStandIn store_;
    std::vector<std::unique_ptr<Searcher>> searchers_;
    std::vector<std::unique_ptr<soak::VmProcess>> vms_;
    std::vector<ProcessEnd> processEnds_;
    std::int64_t bornMs_ { 0 };
    std::uint64_t sequence_ { 0 };
    bool isStopping_ { false };
};

} // namespace flamingousher::review
