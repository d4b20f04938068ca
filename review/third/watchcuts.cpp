#include "cases.h"

#include <algorithm>
#include <memory>
#include <thread>

namespace review {

namespace {

    constexpr milliseconds DrainTime { 3'000 }; // drain-ms
    constexpr milliseconds FirstCutLead { 500 }; // before the removal
    constexpr milliseconds CutInterval { 3'000 }; // between the first and the second cut
    constexpr milliseconds TimeLimit { 3'000 };
    constexpr milliseconds ServesOn { 10'000 }; // the searcher that leaves, after its entry has been removed
    constexpr int Callers = 6;

} // namespace

int runWatchCuts(Record& record, bool hasTrouble)
{
    TemporaryFolder folder;
    Store store;
    std::vector<std::unique_ptr<Searcher>> searchers;
    for (int number = 1; number <= 3; ++number) {
        searchers.push_back(
            std::make_unique<Searcher>("one", "i-" + std::to_string(number), address(3, number), milliseconds(5)));
        store.put("servers/" + searchers.back()->id(), searchers.back()->entry("z" + std::to_string(number), 1));
    }
    store.put("op/config", configurationJson(1, { routeJson("one", "non_idempotent", 3'000, 1'000, 0) }, { "one" }));
    std::vector<std::unique_ptr<Vm>> vms;
    for (int number = 1; number <= 3; ++number)
        vms.push_back(std::make_unique<Vm>(number, "z" + std::to_string(number), folder.path()));
    for (const auto& vm : vms)
        vm->awaitReady();
    std::this_thread::sleep_for(milliseconds(6'000));

    std::atomic<bool> isOver { false };
    std::atomic<int> served { 0 };
    std::vector<std::thread> callers;
    for (int caller = 0; caller < Callers; ++caller) {
        callers.emplace_back([&, caller] {
            for (int number = 0; !isOver; ++number) {
                const std::string id = "request-" + std::to_string(caller) + "-" + std::to_string(number);
                const auto& vm = vms[static_cast<std::size_t>(caller) % vms.size()];
                const Answer answer = ask(vm->host(), requestHead("/one/a", id, TimeLimit) + "\r\n", TimeLimit);
                served += answer.isSuccess() ? 1 : 0;
                if (!answer.isSuccess())
                    record.write(id + ": " + answer.outcome);
                std::this_thread::sleep_for(milliseconds(50));
            }
        });
    }
    std::this_thread::sleep_for(milliseconds(2'000));
    Searcher& leaving = *searchers.front();
    if (hasTrouble)
        store.cutWatches();
    std::this_thread::sleep_for(FirstCutLead);
    store.erase("servers/" + leaving.id());
    const auto acknowledged = Clock::now();
    record.write(
        "the store has removed the entry of " + leaving.id() + "; watches cut so far: " + std::to_string(store.cuts()));
    std::this_thread::sleep_until(acknowledged + CutInterval - FirstCutLead);
    if (hasTrouble)
        store.cutWatches();
    std::this_thread::sleep_until(acknowledged + ServesOn);
    isOver = true;
    for (std::thread& caller : callers)
        caller.join();

    int late = 0;
    for (const auto& [at, id] : leaving.runs()) {
        if (at <= acknowledged)
            continue;
        const auto after = std::chrono::duration_cast<milliseconds>(at - acknowledged);
        record.write(leaving.id() + " ran " + id + ", " + std::to_string(after.count()) + " ms after the removal");
        late += after > DrainTime ? 1 : 0;
    }
    for (const auto& searcher : searchers)
        record.write(searcher->id() + " ran " + std::to_string(searcher->runs().size()) + " requests in all");
    record.write("requests answered: " + std::to_string(served) + "; watches cut: " + std::to_string(store.cuts())
        + "; requests that reached " + leaving.id()
        + " later than 3,000 ms after the removal: " + std::to_string(late));
    if (served == 0 || leaving.runs().empty())
        throw SetupError { "no traffic" };
    return late > 0 ? ExitBroken : ExitHeld;
}

} // namespace review
