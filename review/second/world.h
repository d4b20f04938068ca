#pragma once

#include "platform/standins/storestandin.h"
#include "routing/types.h"
#include "second/record.h"
#include "second/searcher.h"

#include <memory>
#include <string>
#include <vector>

#include <sys/types.h>

namespace flamingousher::review {

struct VmSize {
    double processor { 0.5 };
    double memoryMb { 512 };
    unsigned descriptors { 8'192 };

    bool operator==(const VmSize&) const = default;
};

// One VM: its process, started with the command of the deploy file and settings as its template makes them. Signals go
// to processes that this object has started.
class Vm {
public:
    struct Spec {
        std::string daemon;
        std::string folder;
        std::string name;
        std::string address;
        std::string zone;
        std::string zones; // of all VMs
        VmSize size;
        http::Endpoint store;
        std::vector<std::string> seeds;
        std::uint16_t firstPort { 0 };
    };

    Vm(const Spec&, Record&);
    ~Vm();
    Vm(const Vm&) = delete;
    Vm& operator=(const Vm&) = delete;

    void start();
    void end();

    // Returns false once the process has ended; reaps it.
    bool isRunning();

    http::Endpoint callers() const { return endpoint(0); }
    http::Endpoint readiness() const { return endpoint(1); }
    http::Endpoint gossip() const { return endpoint(2); }
    const std::string& name() const { return spec_.name; }
    std::size_t endCount() const { return endCount_; } // of its own accord
    double firstEndMs() const { return firstEndMs_; }

private:
    http::Endpoint endpoint(std::uint16_t offset) const;

    Spec spec_;
    Record& record_;
    pid_t process_ { 0 };
    std::size_t endCount_ { 0 };
    double firstEndMs_ { 0 };
};

// The platform around the VMs: the store, the searchers, and what starts a process again that has ended. Used on one
// thread, and never destroyed while that runs.
class World {
public:
    struct Spec {
        std::string daemon;
        std::string folder;
        std::vector<std::string> vmZones;
        VmSize vmSize;
    };

    // Throws if the addresses are taken.
    World(boost::asio::io_context&, const Spec&, Record&);

    Searcher& addSearcher(const std::string& service, const std::string& zone, SearcherSpec = {});
    void publish(const routing::Configuration&);

    // Starts the VMs and waits until all are ready.
    void start();

    // Ends all processes.
    void stop();

    // Starts processes again that end by themselves, until stop().
    void superviseProcesses();

    Vm& vm(std::size_t index) { return *vms_.at(index); }
    std::size_t vmCount() const { return vms_.size(); }
    std::vector<std::unique_ptr<Searcher>>& searchers() { return searchers_; }
    platform::StoreStandIn& store() { return store_; }

private:
    std::string address(unsigned group, std::size_t index) const;
    bool isReady(const Vm&);

    boost::asio::io_context& io_;
    Spec spec_;
    Record& record_;
    unsigned net_; // second byte of the loopback addresses
    std::uint16_t firstPort_ { 0 };
    platform::StoreStandIn store_;
    std::vector<std::unique_ptr<Searcher>> searchers_;
    std::vector<std::unique_ptr<Vm>> vms_;
    bool isStopping_ { false };
};

} // namespace flamingousher::review
