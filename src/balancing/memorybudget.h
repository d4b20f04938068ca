#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace flamingousher::balancing {

// Bounds the bytes that a VM holds for others at one time: responses from their arrival until they are sent on, and
// connections of callers and other VMs with the requests that they bring.
// Load pattern: faulty upstreams send without end on many connections, or crowds of callers stop just short of the end
// of their requests. Each is within its own limit, but all of them together exceed the memory of the VM, and its
// process ends with the requests of everyone. The owner that holds most gives way. Used on one thread.
class MemoryBudget {
    struct Impl;

public:
    // Which charge of an owner gives way first.
    enum class Order : std::uint8_t {
        LargestFirst,
        OldestFirst,
    };

    // What is held for one owner. Counts until it is destroyed or evicted.
    class Charge {
    public:
        Charge() = default; // counts nothing
        Charge(Charge&&) noexcept;
        Charge& operator=(Charge&&) noexcept;
        ~Charge();

        // Sets the bytes that are held. May evict charges, also this one; their hooks are called before it returns.
        void resize(std::size_t bytes);

        // Replaces the hook of open(). While it is empty, the charge is not evicted.
        void setEvict(std::function<void()>);

        bool isEvicted() const;

    private:
        friend class MemoryBudget;
        Charge(std::shared_ptr<Impl>, std::uint64_t id);
        void release();

        std::shared_ptr<Impl> impl_;
        std::uint64_t id_ { 0 };
    };

    // limit: in bytes.
    explicit MemoryBudget(std::size_t limit);

    // Returns a charge of nothing yet. evict: must make the owner release the bytes. Called at most once.
    Charge open(const std::string& owner, std::function<void()> evict, Order = Order::LargestFirst);

    std::size_t limit() const;
    std::size_t used() const; // without evicted charges
    std::uint64_t evictions() const;

private:
    std::shared_ptr<Impl> impl_;
};

} // namespace flamingousher::balancing
