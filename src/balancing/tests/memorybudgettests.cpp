#include "balancing/memorybudget.h"

#include <criterion/criterion.h>

#include <random>
#include <set>
#include <vector>

using namespace flamingousher::balancing;

namespace {

constexpr std::size_t Limit = 1'000;

// Opens charges whose evictions are recorded by number.
struct Harness {
    std::size_t open(const std::string& upstream, std::size_t bytes)
    {
        const std::size_t number = charges.size();
        charges.push_back(budget.open(upstream, [this, number] { evicted.insert(number); }));
        charges.back().resize(bytes);
        return number;
    }

    MemoryBudget budget { Limit };
    std::vector<MemoryBudget::Charge> charges;
    std::set<std::size_t> evicted;
};

} // namespace

Test(MemoryBudget, keepsAllWithinTheLimit)
{
    Harness harness;
    harness.open("a", 600);
    harness.open("b", 400);
    cr_expect(harness.evicted.empty());
    cr_expect_eq(harness.budget.used(), Limit);
}

// Load pattern: one upstream sends without end on several connections beside answers of others.
Test(MemoryBudget, evictsLargestChargeOfLargestUpstream)
{
    Harness harness;
    harness.open("other", 350);
    harness.open("faulty", 200);
    const std::size_t largest = harness.open("faulty", 300);
    harness.open("faulty", 100);
    harness.open("third", 100);
    cr_expect(harness.evicted == std::set { largest }, "the greatest single charge is another upstream's");
    cr_expect_eq(harness.budget.used(), 750);
    cr_expect_eq(harness.budget.evictions(), 1);
}

Test(MemoryBudget, evictsTheGrowingChargeIfItIsTheLargest)
{
    Harness harness;
    harness.open("a", 400);
    const std::size_t growing = harness.open("b", 100);
    harness.charges[growing].resize(700);
    cr_expect(harness.evicted == std::set { growing });
    cr_expect(harness.charges[growing].isEvicted());
    harness.charges[growing].resize(900);
    cr_expect_eq(harness.budget.used(), 400, "what is evicted counts no more");
}

Test(MemoryBudget, frees)
{
    Harness harness;
    harness.open("a", 900);
    harness.charges.clear();
    cr_expect_eq(harness.budget.used(), 0);
    harness.open("a", 900);
    cr_expect(harness.evicted.empty());
}

Test(MemoryBudget, allowsHookToDestroyTheCharge)
{
    MemoryBudget budget(Limit);
    MemoryBudget::Charge first;
    first = budget.open("a", [&] { first = {}; });
    first.resize(Limit);
    MemoryBudget::Charge second = budget.open("b", [] {});
    second.resize(10);
    cr_expect_eq(budget.used(), 10);
}

Test(MemoryBudget, callsReplacedHook)
{
    MemoryBudget budget(Limit);
    int first = 0;
    int second = 0;
    MemoryBudget::Charge charge = budget.open("a", [&] { ++first; });
    charge.setEvict([&] { ++second; });
    charge.resize(Limit + 1);
    cr_expect_eq(first, 0);
    cr_expect_eq(second, 1);
}

// A response that waits for other shards is complete, and cannot be evicted. What still arrives gives way.
Test(MemoryBudget, keepsChargeWithoutHook)
{
    Harness harness;
    const std::size_t complete = harness.open("a", 900);
    harness.charges[complete].setEvict({});
    const std::size_t arriving = harness.open("b", 200);
    cr_expect(harness.evicted == std::set { arriving });
    cr_expect_eq(harness.budget.used(), 900);
}

Test(MemoryBudget, neverExceedsItsLimit)
{
    std::mt19937 random(20261);
    Harness harness;
    for (int step = 0; step < 5'000; ++step) {
        const std::size_t number = random() % 40;
        if (number >= harness.charges.size())
            harness.open(std::string(1, static_cast<char>('a' + random() % 5)), random() % 200);
        else if (random() % 4 == 0)
            harness.charges[number] = {};
        else
            harness.charges[number].resize(random() % 400);
        cr_assert_leq(harness.budget.used(), Limit);
    }
    harness.charges.clear();
    cr_expect_eq(harness.budget.used(), 0);
}

// Load pattern: a crowd of callers that stop just short of the end of their requests.
Test(MemoryBudget, evictsOldestChargeOfOwnerThatIsOrderedByAge)
{
    MemoryBudget budget(Limit);
    std::vector<int> evicted;
    std::vector<MemoryBudget::Charge> charges;
    for (int number = 0; number < 4; ++number) {
        charges.push_back(budget.open(
            "callers", [&evicted, number] { evicted.push_back(number); }, MemoryBudget::Order::OldestFirst));
        charges.back().resize(number == 2 ? 400 : 200);
    }
    cr_expect(evicted.empty());
    charges[0].setEvict(nullptr);
    MemoryBudget::Charge response = budget.open("upstream", [] { cr_assert_fail("another owner holds more"); });
    response.resize(250);
    cr_expect(evicted == (std::vector { 1, 2 }), "the first is being handled, and the largest is not the oldest");
}
