#include "balancing/memorybudget.h"

#include <algorithm>
#include <map>
#include <unordered_map>
#include <utility>

namespace flamingousher::balancing {

struct MemoryBudget::Impl {
    struct Entry {
        std::string owner;
        std::size_t bytes { 0 };
        std::function<void()> evict; // empty: not evictable
        Order order { Order::LargestFirst };
        bool isEvicted { false };
    };

    void count(const Entry& entry)
    {
        used += entry.bytes;
        if (entry.evict && entry.bytes > 0)
            evictable[entry.owner] += entry.bytes;
    }

    // Undoes count(). The entry must not have changed since.
    void discount(const Entry& entry)
    {
        used -= entry.bytes;
        if (!entry.evict || entry.bytes == 0)
            return;
        const auto found = evictable.find(entry.owner);
        found->second -= entry.bytes;
        if (found->second == 0)
            evictable.erase(found);
    }

    // The owner that holds most is the one that is out of proportion. What is held for the others stays.
    void evictOne()
    {
        const auto owner = std::ranges::max_element(
            evictable, [](const auto& one, const auto& other) { return one.second < other.second; });
        Entry* victim = nullptr;
        for (auto& [id, entry] : entries) { // oldest first
            if (!entry.evict || entry.bytes == 0 || entry.owner != owner->first)
                continue;
            if (!victim || entry.bytes > victim->bytes)
                victim = &entry;
            if (entry.order == Order::OldestFirst)
                break;
        }
        discount(*victim);
        victim->bytes = 0;
        victim->isEvicted = true;
        ++evictions;
        // The hook may destroy the charge, and with it the entry.
        const auto evict = std::exchange(victim->evict, nullptr);
        evict();
    }

    std::size_t limit { 0 };
    std::size_t used { 0 };
    std::uint64_t evictions { 0 };
    std::uint64_t lastId { 0 };
    std::map<std::uint64_t, Entry> entries; // by the order in which they were opened
    std::unordered_map<std::string, std::size_t> evictable; // bytes by owner, without zeros
};

MemoryBudget::MemoryBudget(std::size_t limit)
    : impl_(std::make_shared<Impl>())
{
    impl_->limit = limit;
}

MemoryBudget::Charge MemoryBudget::open(const std::string& owner, std::function<void()> evict, Order order)
{
    const std::uint64_t id = ++impl_->lastId;
    impl_->entries.emplace(id, Impl::Entry { owner, 0, std::move(evict), order });
    return { impl_, id };
}

std::size_t MemoryBudget::limit() const
{
    return impl_->limit;
}

std::size_t MemoryBudget::used() const
{
    return impl_->used;
}

std::uint64_t MemoryBudget::evictions() const
{
    return impl_->evictions;
}

MemoryBudget::Charge::Charge(std::shared_ptr<Impl> impl, std::uint64_t id)
    : impl_(std::move(impl))
    , id_(id)
{
}

MemoryBudget::Charge::Charge(Charge&& other) noexcept
    : impl_(std::exchange(other.impl_, nullptr))
    , id_(other.id_)
{
}

MemoryBudget::Charge& MemoryBudget::Charge::operator=(Charge&& other) noexcept
{
    if (this != &other) {
        release();
        impl_ = std::exchange(other.impl_, nullptr);
        id_ = other.id_;
    }
    return *this;
}

MemoryBudget::Charge::~Charge()
{
    release();
}

void MemoryBudget::Charge::release()
{
    if (!impl_)
        return;
    const auto found = impl_->entries.find(id_);
    impl_->discount(found->second);
    impl_->entries.erase(found);
    impl_ = nullptr;
}

void MemoryBudget::Charge::resize(std::size_t bytes)
{
    if (!impl_ || isEvicted())
        return;
    const auto impl = impl_; // a hook may destroy this charge
    Impl::Entry& entry = impl->entries.at(id_);
    impl->discount(entry);
    entry.bytes = bytes;
    impl->count(entry);
    while (impl->used > impl->limit && !impl->evictable.empty())
        impl->evictOne();
}

void MemoryBudget::Charge::setEvict(std::function<void()> evict)
{
    if (!impl_ || isEvicted())
        return;
    Impl::Entry& entry = impl_->entries.at(id_);
    impl_->discount(entry);
    entry.evict = std::move(evict);
    impl_->count(entry);
}

bool MemoryBudget::Charge::isEvicted() const
{
    return impl_ && impl_->entries.at(id_).isEvicted;
}

} // namespace flamingousher::balancing
