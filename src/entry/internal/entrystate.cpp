#include "entry/internal/entrystate.h"

#include <algorithm>

namespace flamingousher::entry {

namespace {

    constexpr std::size_t MaxRecords = 500;

} // namespace

EntryState::EntryState(boost::asio::io_context& ioContext, const EntrySettings& entrySettings,
    const CallerProtocol& callerProtocol, const upstreamclient::UpstreamProtocol& upstreamProtocol,
    std::function<void(const std::string&)> writeLog)
    : io(ioContext)
    , settings(entrySettings)
    , callers(callerProtocol)
    , upstreams(upstreamProtocol)
    , now([] { return std::chrono::steady_clock::now(); })
    , log({}, { now, std::move(writeLog) })
    , records(MaxRecords)
    , directory(ioContext, settings, upstreams, log, now)
    , delegates(ioContext, settings, log, now)
{
}

void EntryState::applyRoutes(const std::shared_ptr<const routing::RouteTable>& table)
{
    routes = table;
    const auto isRemoved = [&](const auto& entry) {
        return std::ranges::none_of(
            table->configuration().routes, [&](const routing::Route& route) { return route.name == entry.first; });
    };
    std::erase_if(latencyByRoute, isRemoved);
    std::erase_if(delegatedLatencyByRoute, isRemoved);
    directory.applyConfiguration(*table);
    updateDelegates();
}

fanout::SubRequestLatency& EntryState::subRequestLatency(const routing::Route& route)
{
    return latencyByRoute.try_emplace(route.name, route.goal).first->second;
}

fanout::SubRequestLatency& EntryState::delegatedLatency(const routing::Route& route)
{
    return delegatedLatencyByRoute.try_emplace(route.name, route.goal).first->second;
}

void EntryState::updateDelegates()
{
    delegates.set(directory.chooseDelegates());
}

} // namespace flamingousher::entry
