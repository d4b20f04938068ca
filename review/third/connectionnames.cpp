#include "cases.h"

#include <memory>
#include <thread>

namespace review {

namespace {

    constexpr milliseconds TimeLimit { 3'000 }; // of all requests
    constexpr int CrowdPerVm = 150;
    constexpr int OrdinaryRequests = 20; // at each machine
    constexpr milliseconds OrdinaryInterval { 300 };
    constexpr milliseconds CrowdLead { 2'000 };

    // Both kinds of head have the same size, below the limit of 16,384 bytes.
    constexpr int Names = 3'900;
    constexpr int Fields = 1'950;

    std::string crowdFields(bool hasTrouble)
    {
        std::string names;
        for (int name = 0; name < Names; ++name)
            names += "a,";
        std::string fields;
        for (int field = 0; field < Fields; ++field)
            fields += "b:\r\n";
        if (hasTrouble)
            return "Connection: " + names + "a\r\n" + fields;
        return "Connection: keep-alive\r\nX-Names: " + names + "a\r\n" + fields;
    }

    // One client of the crowd: sends a request, waits for the answer and sends the next one.
    void runCrowdClient(const std::string& host, const std::string& name, const std::string& fields,
        const std::atomic<bool>& isOver, std::atomic<int>& answered)
    {
        for (int number = 0; !isOver; ++number) {
            const std::string id = name + "-" + std::to_string(number);
            const Answer answer
                = ask(host, requestHead("/one/crowd", id, TimeLimit) + fields + "\r\n", milliseconds(60'000));
            answered += answer.isSuccess() ? 1 : 0;
        }
    }

} // namespace

int runConnectionNames(Record& record, bool hasTrouble)
{
    TemporaryFolder folder;
    Store store;
    std::vector<std::unique_ptr<Searcher>> searchers;
    for (int number = 1; number <= 3; ++number) {
        searchers.push_back(
            std::make_unique<Searcher>("one", "i-" + std::to_string(number), address(3, number), milliseconds(5)));
        store.put("servers/" + searchers.back()->id(), searchers.back()->entry("z" + std::to_string(number), 1));
    }
    store.put("op/config", configurationJson(1, { routeJson("one", "idempotent", 3'000, 1'000, 0) }, { "one" }));
    std::vector<std::unique_ptr<Vm>> vms;
    for (int number = 1; number <= 3; ++number)
        vms.push_back(std::make_unique<Vm>(number, "z" + std::to_string(number), folder.path()));
    for (const auto& vm : vms)
        vm->awaitReady();
    std::this_thread::sleep_for(milliseconds(6'000));

    const std::string fields = crowdFields(hasTrouble);
    const std::string example = requestHead("/one/crowd", "crowd-1-100-1000", TimeLimit) + fields + "\r\n";
    record.write("head of a request of the crowd: " + std::to_string(example.size()) + " bytes");
    const Answer single = ask(vms.front()->host(), example, milliseconds(60'000));
    record.write("one such request alone: " + single.outcome + " after " + std::to_string(single.seconds) + " s");

    std::atomic<bool> isOver { false };
    std::atomic<int> crowdAnswered { 0 };
    for (std::size_t vm = 0; vm < vms.size(); ++vm) {
        for (int client = 0; client < CrowdPerVm; ++client) {
            const std::string name = "crowd-" + std::to_string(vm) + "-" + std::to_string(client);
            std::thread([&, host = vms[vm]->host(), name] {
                runCrowdClient(host, name, fields, isOver, crowdAnswered);
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
                record.write(id + " first try: " + answer.outcome);
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
    isOver = true;
    const int all = OrdinaryRequests * static_cast<int>(vms.size());
    record.write("ordinary requests answered: " + std::to_string(served) + " of " + std::to_string(all)
        + "; requests of the crowd answered: " + std::to_string(crowdAnswered));
    // By the pages ordinary callers still get answers.
    return served * 2 < all ? ExitBroken : ExitHeld;
}

} // namespace review
