#include "balancing/memorybudget.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace flamingousher::balancing {

struct MemoryBudget::Impl {
    struct Entry {
        std::string upstream;
        std::size_t bytes { 0 };
        std::function<void()> evict; // empty: not evictable
        bool isEvicted { false };
    };

    void count(const Entry& entry)
    {
        used += entry.bytes;
        if (entry.evict && entry.bytes > 0)
            evictable[entry.upstream] += entry.bytes;
    }

    // Undoes count(). The entry must not have changed since.
    void discount(const Entry& entry)
    {
        used -= entry.bytes;
        if (!entry.evict || entry.bytes == 0)
            return;
        const auto found = evictable.find(entry.upstream);
        found->second -= entry.bytes;
        if (found->second == 0)
            evictable.erase(found);
    }

    // The upstream that holds most is the one whose responses are out of proportion. Those of the others stay.
    void evictLargest()
    {
        const auto upstream = std::ranges::max_element(
            evictable, [](const auto& one, const auto& other) { return one.second < other.second; });
        Entry* largest = nullptr;
        for (auto& [id, entry] : entries) {
            if (entry.evict && entry.upstream == upstream->first && (!largest || entry.bytes > largest->bytes))
                largest = &entry;
        }
        discount(*largest);
        largest->bytes = 0;
        largest->isEvicted = true;
        ++evictions;
        // The hook may destroy the charge, and with it the entry.
        const auto evict = std::exchange(largest->evict, nullptr);
        evict();
    }

    std::size_t limit { 0 };
    std::size_t used { 0 };
    std::uint64_t evictions { 0 };
    std::uint64_t lastId { 0 };
    std::unordered_map<std::uint64_t, Entry> entries;
    std::unordered_map<std::string, std::size_t> evictable; // bytes by upstream, without zeros
};

MemoryBudget::MemoryBudget(std::size_t limit)
    : impl_(std::make_shared<Impl>())
{
    impl_->limit = limit;
}

MemoryBudget::Charge MemoryBudget::open(const std::string& upstream, std::function<void()> evict)
{
    const std::uint64_t id = ++impl_->lastId;
    impl_->entries.emplace(id, Impl::Entry { upstream, 0, std::move(evict) });
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
        impl->evictLargest();
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
