#include "traffic/ownedupstreams.h"

#include <algorithm>

namespace flamingousher::traffic {

namespace {

    constexpr std::size_t QueueCapacity = 4'096;

} // namespace

std::array<double, base::RankCount> minSharesOf(const tables::Tables& tables, const std::string& pool)
{
    std::array<double, base::RankCount> minShares {};
    for (const tables::Route& route : tables.routes) {
        if (route.pool == pool)
            minShares[base::indexOf(route.rank)] += route.share;
    }
    return minShares;
}

OwnedUpstreams::OwnedUpstreams(
    boost::asio::io_context& io, transport::UpstreamDirectory& directory, const std::string& incarnation, Hooks hooks)
    : io_(io)
    , directory_(directory)
    , incarnation_(incarnation)
    , hooks_(std::move(hooks))
{
}

void OwnedUpstreams::apply(const tables::Tables& tables, const std::function<bool(const tables::Upstream&)>& isOwner)
{
    std::set<query::UpstreamId> ownedIds;
    for (const tables::Pool& pool : tables.pools) {
        const auto minShares = minSharesOf(tables, pool.name);
        for (const tables::Upstream& configured : pool.upstreams) {
            if (!isOwner(configured))
                continue;
            const tables::Upstream upstream = hooks_.limitToShare(configured);
            const query::UpstreamId id = directory_.idOf(configured);
            const upstreams::QueueSettings settings { upstream.slots, minShares, QueueCapacity };
            ownedIds.insert(id);
            std::shared_ptr<transport::UpstreamLink>& link = links_[id];
            if (link) {
                link->setUpstream(upstream, settings);
                continue;
            }
            link = std::make_shared<transport::UpstreamLink>(io_, id, upstream, settings, incarnation_,
                transport::LinkHooks { hooks_.now, hooks_.onStatus, hooks_.onCrash });
            link->start();
        }
    }
    std::erase_if(links_, [&](const auto& entry) {
        if (ownedIds.contains(entry.first))
            return false;
        entry.second->beginShutdown();
        closing_.push_back(entry.second);
        return true;
    });
}

bool OwnedUpstreams::submit(transport::SubRequest& request, transport::SubCallback& callback)
{
    const auto found = links_.find(request.upstream);
    if (found == links_.end())
        return false;
    found->second->submit(std::move(request), std::move(callback));
    return true;
}

void OwnedUpstreams::cancel(query::SubRequestId id, query::UpstreamId upstream)
{
    const auto found = links_.find(upstream);
    if (found != links_.end())
        found->second->cancel(id);
}

void OwnedUpstreams::sweep()
{
    for (const auto& [id, link] : links_)
        link->sweep();
    for (const auto& link : closing_)
        link->sweep();
    std::erase_if(closing_, [](const auto& link) { return link->isIdle(); });
}

void OwnedUpstreams::beginShutdown()
{
    for (const auto& [id, link] : links_)
        link->beginShutdown();
}

std::set<std::string> OwnedUpstreams::closingUpstreams() const
{
    std::set<std::string> names;
    for (const auto& link : closing_) {
        if (!link->isIdle())
            names.insert(link->upstream().name);
    }
    return names;
}

const transport::UpstreamStatus* OwnedUpstreams::status(query::UpstreamId upstream) const
{
    const auto found = links_.find(upstream);
    return found == links_.end() || found->second->status().served.empty() ? nullptr : &found->second->status();
}

bool OwnedUpstreams::isIdle() const
{
    return closing_.empty() && std::ranges::all_of(links_, [](const auto& entry) { return entry.second->isIdle(); });
}

} // namespace flamingousher::traffic
