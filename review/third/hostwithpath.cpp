#include "cases.h"

#include <memory>
#include <set>
#include <thread>

namespace review {

namespace {

    constexpr milliseconds TimeLimit { 3'000 };
    constexpr int Requests = 20; // at each machine, of each kind

    std::string makeRequest(const std::string& host, const std::string& path, const std::string& id)
    {
        return "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nFlamingousher-Request-Id: " + id
            + "\r\nFlamingousher-Deadline-Ms: " + std::to_string(TimeLimit.count()) + "\r\n\r\n";
    }

} // namespace

int runHostWithPath(Record& record, bool hasTrouble)
{
    TemporaryFolder folder;
    Store store;
    std::vector<std::unique_ptr<Searcher>> searchers;
    for (int number = 1; number <= 3; ++number) {
        searchers.push_back(
            std::make_unique<Searcher>("one", "i-" + std::to_string(number), address(3, number), milliseconds(5)));
        store.put("servers/" + searchers.back()->id(), searchers.back()->entry("z" + std::to_string(number), 1));
    }
    // The only route: host h.example, prefix /one/.
    store.put("op/config", configurationJson(1, { routeJson("one", "non_idempotent", 3'000, 1'000, 0) }, { "one" }));
    std::vector<std::unique_ptr<Vm>> vms;
    for (int number = 1; number <= 3; ++number)
        vms.push_back(std::make_unique<Vm>(number, "z" + std::to_string(number), folder.path()));
    for (const auto& vm : vms)
        vm->awaitReady();
    std::this_thread::sleep_for(milliseconds(6'000));

    // No configuration has a route for the host "h.example/one", nor one for the path /x at any host.
    const std::string host = hasTrouble ? "h.example/one" : "h.example";
    std::set<std::string> unrouted;
    int served = 0;
    for (int number = 0; number < Requests; ++number) {
        for (std::size_t vm = 0; vm < vms.size(); ++vm) {
            const std::string suffix = std::to_string(vm) + "-" + std::to_string(number);
            const Answer ordinary
                = ask(vms[vm]->host(), makeRequest("h.example", "/one/a", "routed-" + suffix), TimeLimit);
            served += ordinary.isSuccess() ? 1 : 0;
            const std::string id = "unrouted-" + suffix;
            unrouted.insert(id);
            const Answer answer = ask(vms[vm]->host(), makeRequest(host, "/x", id), TimeLimit);
            record.write("Host: " + host + ", GET /x, " + id + ": " + answer.outcome + " " + answer.message.body);
        }
    }
    int ran = 0;
    for (const auto& searcher : searchers) {
        for (const auto& [at, id] : searcher->runs()) {
            if (!unrouted.contains(id))
                continue;
            ++ran;
            record.write(searcher->id() + " of service one ran " + id);
        }
    }
    record.write("routed requests served: " + std::to_string(served) + " of "
        + std::to_string(Requests * static_cast<int>(vms.size()))
        + "; unrouted requests that a searcher ran: " + std::to_string(ran) + " of " + std::to_string(unrouted.size()));
    if (served == 0)
        throw SetupError { "no traffic" };
    return ran > 0 ? ExitBroken : ExitHeld;
}

} // namespace review
