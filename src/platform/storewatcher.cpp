#include "platform/storewatcher.h"

#include "platform/names.h"
#include "runtime/sleep.h"

#include <algorithm>

namespace flamingousher::platform {

using base::Error;
using base::ErrorCode;

namespace {

    // One watch covers all keys.
    constexpr const char* AllKeys = "";

    // A watch that has gone silent is noticed after this time and a little more: less than an entry may be late.
    constexpr std::chrono::milliseconds WatchTime { 4'000 };

    // Changes come in series; those that come within this time cost one call together.
    constexpr std::chrono::milliseconds GatherTime { 200 };

    constexpr std::chrono::milliseconds FirstBackoff { 100 };
    constexpr std::uint32_t MostBackoffDoublings = 3; // 800 ms

} // namespace

StoreWatcher::StoreWatcher(boost::asio::io_context& io, const http::Endpoint& endpoint, Hooks hooks)
    : io_(io)
    , hooks_(std::move(hooks))
    , client_(io, endpoint)
{
}

void StoreWatcher::run()
{
    for (;;) {
        const bool isDone = isComplete_ ? awaitChanges() : readAll();
        if (isDone)
            continue;
        const auto backoff = FirstBackoff * (1U << std::min(failures_, MostBackoffDoublings));
        // Between a half and the whole of the backoff, so that VMs do not return together.
        pause(backoff / 2 + std::chrono::milliseconds(hooks_.random() % (backoff.count() / 2)));
    }
}

void StoreWatcher::pause(std::chrono::milliseconds duration)
{
    runtime::sleepFor(io_, duration);
}

void StoreWatcher::noteFailure(const Error& error)
{
    ++failures_;
    if (std::exchange(isInTouch_, false) || failures_ == 1)
        hooks_.onLost(error);
}

void StoreWatcher::noteSuccess()
{
    failures_ = 0;
    if (!std::exchange(isInTouch_, true))
        hooks_.onRegained();
}

// Pages are not a snapshot: what changes meanwhile is told by the watch from the first page's revision on.
bool StoreWatcher::readAll()
{
    std::vector<discovery::UpstreamEntry> upstreams;
    StoreItem configuration;
    std::string after;
    std::uint64_t asOf = 0;
    for (;;) {
        const auto page = client_.range(AllKeys, after, mayReadStale_);
        if (!page) {
            noteFailure(page.error());
            return false;
        }
        asOf = asOf == 0 ? page->asOf : asOf;
        if (page->asOf < revision_) {
            // Older than what is known already.
            mayReadStale_ = false;
            return false;
        }
        for (const StoreItem& item : page->items) {
            if (item.key == key::Configuration)
                configuration = item;
            if (!item.key.starts_with(key::Upstreams))
                continue;
            auto upstream = decodeUpstream(item.key, item.value);
            if (upstream)
                upstreams.push_back(*std::move(upstream));
            else
                hooks_.onUnreadable(upstream.error());
        }
        if (!page->hasMore || page->items.empty())
            break;
        after = page->items.back().key;
    }
    noteSuccess();
    hooks_.onAllUpstreams(upstreams);
    if (!configuration.key.empty())
        applyConfiguration(configuration);
    revision_ = asOf;
    isComplete_ = true;
    hooks_.onCaughtUp();
    return true;
}

bool StoreWatcher::awaitChanges()
{
    const auto page = client_.watch(AllKeys, revision_, WatchTime);
    if (!page) {
        // A stale read may lack the history as well.
        if (page.error().code == ErrorCode::VersionNotServed) {
            isComplete_ = false;
            mayReadStale_ = false;
            return true;
        }
        noteFailure(page.error());
        return false;
    }
    noteSuccess();
    for (const StoreItem& item : page->items)
        apply(item);
    revision_ = std::max(revision_, page->asOf);
    hooks_.onCaughtUp();
    if (!page->items.empty())
        pause(GatherTime);
    return true;
}

void StoreWatcher::apply(const StoreItem& item)
{
    if (item.key == key::Configuration && !item.isDeleted) {
        applyConfiguration(item);
        return;
    }
    if (!item.key.starts_with(key::Upstreams))
        return;
    if (item.isDeleted) {
        hooks_.onUpstreamGone(item.key.substr(key::Upstreams.size()));
        return;
    }
    const auto upstream = decodeUpstream(item.key, item.value);
    if (upstream)
        hooks_.onUpstream(*upstream);
    else
        hooks_.onUnreadable(upstream.error());
}

void StoreWatcher::applyConfiguration(const StoreItem& item)
{
    const auto configuration = decodeConfiguration(item.value);
    if (configuration)
        hooks_.onConfiguration(*configuration);
    else
        hooks_.onUnreadable(configuration.error());
}

} // namespace flamingousher::platform
