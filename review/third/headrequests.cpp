#include "cases.h"

#include <memory>
#include <thread>

namespace review {

namespace {

    constexpr milliseconds TimeLimit { 3'000 }; // of all requests
    constexpr milliseconds Work { 120 };
    constexpr int Searchers = 7;
    constexpr int CrowdPerVm = 30;
    constexpr int OrdinaryRequests = 20; // at each machine
    constexpr milliseconds OrdinaryInterval { 300 };
    constexpr milliseconds CrowdLead { 4'000 };
    constexpr milliseconds CrowdPause { 300 }; // after a request that was not served

} // namespace

int runHeadRequests(Record& record, bool hasTrouble)
{
    TemporaryFolder folder;
    Store store;
    std::vector<std::unique_ptr<Searcher>> searchers;
    for (int number = 1; number <= Searchers; ++number) {
        searchers.push_back(std::make_unique<Searcher>("one", "i-" + std::to_string(number), address(3, number), Work));
        store.put(
            "servers/" + searchers.back()->id(), searchers.back()->entry("z" + std::to_string(1 + number % 3), 1));
    }
    store.put("op/config", configurationJson(1, { routeJson("one", "idempotent", 3'000, 1'000, 2) }, { "one" }));
    std::vector<std::unique_ptr<Vm>> vms;
    for (int number = 1; number <= 3; ++number)
        vms.push_back(std::make_unique<Vm>(number, "z" + std::to_string(number), folder.path()));
    for (const auto& vm : vms)
        vm->awaitReady();
    std::this_thread::sleep_for(milliseconds(6'000));

    const auto crowdRequest = [hasTrouble](const std::string& id) {
        std::string request = requestHead("/one/crowd", id, TimeLimit) + "\r\n";
        if (hasTrouble)
            request.replace(0, 3, "HEAD");
        return request;
    };
    const Answer single = ask(vms.front()->host(), crowdRequest("crowd-single"), TimeLimit * 2);
    record.write(
        "one request of the crowd, alone: " + single.outcome + " after " + std::to_string(single.seconds) + " s");

    std::atomic<bool> isOver { false };
    std::atomic<int> crowdServed { 0 };
    std::atomic<int> crowdSent { 0 };
    for (std::size_t vm = 0; vm < vms.size(); ++vm) {
        for (int client = 0; client < CrowdPerVm; ++client) {
            const std::string name = "crowd-" + std::to_string(vm) + "-" + std::to_string(client);
            std::thread([&, host = vms[vm]->host(), name] {
                for (int number = 0; !isOver; ++number) {
                    ++crowdSent;
                    if (ask(host, crowdRequest(name + "-" + std::to_string(number)), TimeLimit).isSuccess())
                        ++crowdServed;
                    else
                        std::this_thread::sleep_for(CrowdPause);
                }
            }).detach();
        }
    }
    std::this_thread::sleep_for(CrowdLead);

    // Ordinary callers try a second machine after a failure or half of their time.
    std::atomic<int> served { 0 };
    std::vector<std::thread> callers;
    for (int number = 0; number < OrdinaryRequests; ++number) {
        for (std::size_t vm = 0; vm < vms.size(); ++vm) {
            callers.emplace_back([&, vm, number] {
                const std::string id = "ordinary-" + std::to_string(vm) + "-" + std::to_string(number);
                const milliseconds half = TimeLimit / 2;
                Answer answer = ask(vms[vm]->host(), requestHead("/one/a", id, TimeLimit) + "\r\n", half);
                record.write(id + " first try: " + answer.outcome + " " + answer.message.body);
                if (!answer.isSuccess()) {
                    answer = ask(
                        vms[(vm + 1) % vms.size()]->host(), requestHead("/one/a", id + "-again", half) + "\r\n", half);
                    record.write(id + " second try: " + answer.outcome);
                }
                served += answer.isSuccess() ? 1 : 0;
            });
        }
        std::this_thread::sleep_for(OrdinaryInterval);
    }
    for (std::thread& caller : callers)
        caller.join();
    for (const auto& vm : vms)
        record.write("at " + vm->host() + ": runs " + (vm->isRunning() ? "yes" : "no") + ", ready "
            + (vm->isReady() ? "yes" : "no"));
    std::size_t runs = 0;
    for (const auto& searcher : searchers)
        runs += searcher->runs().size();
    const int all = OrdinaryRequests * static_cast<int>(vms.size());
    record.write("ordinary requests answered: " + std::to_string(served) + " of " + std::to_string(all)
        + "; requests of the crowd served: " + std::to_string(crowdServed) + " of " + std::to_string(crowdSent)
        + "; run by searchers: " + std::to_string(runs));
    isOver = true;
    // By the pages ordinary callers still get answers.
    return served * 2 < all ? ExitBroken : ExitHeld;
}

} // namespace review
