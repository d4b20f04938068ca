#pragma once

#include "platform/standins/searcherstandin.h"
#include "platform/standins/storestandin.h"
#include "soak/promises.h"
#include "soak/proxy.h"
#include "soak/vmprocess.h"

#include <memory>
#include <string>
#include <vector>

namespace flamingousher::soak {

struct DeploymentSpec {
    std::string daemon;
    std::string folder;
    std::uint32_t slot { 0 }; // selects the range of loopback addresses, which differs between concurrent runs
    std::size_t vms { 5 };

    bool operator==(const DeploymentSpec&) const = default;
};

// One upstream of the deployment: a stand-in behind a proxy.
struct Upstream {
    discovery::UpstreamEntry entry;
    std::unique_ptr<platform::SearcherStandIn> standIn;
    std::unique_ptr<Proxy> proxy;
    bool isListed { true };
};

// Runs the VMs of the product as processes with stand-ins for the store and the upstreams. Each VM reaches the store
// through its own proxy; all VMs reach an upstream through the same proxy. Used on one thread.
class Deployment {
public:
    Deployment(boost::asio::io_context&, const DeploymentSpec&, Promises&, std::function<TimePoint()> now);

    // Starts everything and publishes the first version.
    void start();

    // Publishes the next version. Its shards are other services than those of the two previous versions.
    void publishNext();
    void setDraining(std::size_t upstream);
    void list(std::size_t upstream);
    void unlist(std::size_t upstream);

    // Takes an availability zone out of service, and takes the order back.
    void evacuate(const std::string& zone);
    void endEvacuation();

    // Replaces a removed upstream by one of the same service with a new ID.
    void replace(std::size_t upstream);

    std::size_t vmCount() const { return vms_.size(); }
    VmProcess& vm(std::size_t index) { return *vms_.at(index); }
    Proxy& storeProxy(std::size_t vm) { return *storeProxies_.at(vm); }
    Proxy& callerProxy(std::size_t vm) { return *callerProxies_.at(vm); }
    http::Endpoint callersEndpoint(std::size_t vm) const;
    std::vector<Upstream>& upstreams() { return upstreams_; }
    platform::StoreStandIn& store() { return store_; }

private:
    http::Endpoint endpoint(std::uint32_t group, std::size_t index, std::uint16_t port) const;
    void add(const std::string& service, const std::string& zone);

    boost::asio::io_context& io_;
    DeploymentSpec spec_;
    Promises& promises_;
    std::function<TimePoint()> now_;
    platform::StoreStandIn store_;
    std::vector<Upstream> upstreams_;
    std::vector<std::unique_ptr<Proxy>> storeProxies_;
    std::vector<std::unique_ptr<Proxy>> callerProxies_;
    std::vector<std::unique_ptr<VmProcess>> vms_;
    std::uint64_t version_ { 0 };
    std::string evacuatedZone_; // empty: none
};

} // namespace flamingousher::soak
