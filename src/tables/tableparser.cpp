#include "tables/tableparser.h"

#include "tables/inidocument.h"
#include "tables/sectionreader.h"

#include <algorithm>
#include <map>
#include <set>

namespace flamingousher::tables {

namespace {

    constexpr std::uint64_t MaximumTargetMs = 24ULL * 60 * 60 * 1000;
    constexpr std::uint64_t MaximumShards = 100'000;
    constexpr std::uint64_t MaximumSlots = 10'000;
    constexpr std::uint64_t MaximumPort = 65'535;

    const std::string RoutesTable = "routes";
    const std::string PoolsTable = "pools";

    // Splits "route NAME" into its kind and name.
    std::pair<std::string, std::string> splitSectionName(const std::string& section)
    {
        const std::size_t space = section.find(' ');
        if (space == std::string::npos)
            return { section, {} };
        return { section.substr(0, space), section.substr(space + 1) };
    }

    IniDocument readDocument(const std::string& table, std::string_view text, std::vector<Fault>& faults)
    {
        if (text.size() > MaximumTableBytes) {
            faults.push_back({ table, {}, {}, "is larger than " + std::to_string(MaximumTableBytes) + " bytes" });
            return {};
        }
        tl::expected<IniDocument, std::string> document = parseIni(text);
        if (document)
            return *std::move(document);
        faults.push_back({ table, {}, {}, document.error() });
        return {};
    }

    Route readRoute(const std::string& name, SectionReader& reader)
    {
        Route route;
        route.name = name;
        route.method = reader.text("method");
        route.pathPrefix = reader.text("path");
        if (!route.pathPrefix.empty() && route.pathPrefix.front() != '/')
            reader.addFault("path", "does not start with /");
        route.pool = reader.text("pool");
        const std::string rank = reader.text("rank");
        if (const std::optional<base::Rank> parsed = base::rankFromString(rank))
            route.rank = *parsed;
        else if (!rank.empty())
            reader.addFault("rank", "'" + rank + "' is not urgent, normal or background");
        route.target = std::chrono::milliseconds(reader.integer("target_ms", 1, MaximumTargetMs));
        route.share = reader.fraction("share", 0);
        route.isIdempotent = reader.flag("idempotent", true);
        route.allowsPartial = reader.flag("partial", true);
        route.minCoverage = reader.fraction("least_coverage", route.allowsPartial ? 0 : 1);
        route.allowsHedging = reader.flag("hedge", true);
        if (!route.isIdempotent && route.allowsHedging)
            route.allowsHedging = false;
        reader.rejectUnknownKeys();
        return route;
    }

    std::vector<Route> readRoutes(const IniDocument& document, std::vector<Fault>& faults)
    {
        std::vector<Route> routes;
        for (const IniSection& section : document.sections) {
            SectionReader reader(RoutesTable, section, faults);
            const auto [kind, name] = splitSectionName(section.name);
            if (kind == "route" && !name.empty())
                routes.push_back(readRoute(name, reader));
            else
                reader.addFault({}, "is not a section of the form [route NAME]");
        }
        std::ranges::sort(routes, {}, &Route::name);
        return routes;
    }

    Pool readPool(const std::string& name, SectionReader& reader)
    {
        Pool pool;
        pool.name = name;
        const std::string kind = reader.text("kind");
        if (kind == "service")
            pool.kind = PoolKind::Service;
        else if (kind != "search" && !kind.empty())
            reader.addFault("kind", "'" + kind + "' is neither search nor service");
        pool.shards = static_cast<std::uint32_t>(reader.integer("shards", 1, MaximumShards, 1));
        reader.rejectUnknownKeys();
        return pool;
    }

    Upstream readUpstream(const std::string& name, SectionReader& reader)
    {
        Upstream upstream;
        upstream.name = name;
        upstream.pool = reader.text("pool");
        upstream.address = reader.text("address");
        boost::system::error_code error;
        boost::asio::ip::make_address(upstream.address, error);
        if (error && !upstream.address.empty())
            reader.addFault("address", "'" + upstream.address + "' is not an IP address");
        upstream.port = static_cast<std::uint16_t>(reader.integer("port", 1, MaximumPort));
        upstream.shard = static_cast<std::uint32_t>(reader.integer("shard", 0, MaximumShards, 0));
        upstream.zone = reader.text("zone");
        upstream.slots = static_cast<std::uint32_t>(reader.integer("slots", 1, MaximumSlots));
        upstream.connections = static_cast<std::uint32_t>(reader.integer("connections", 1, MaximumSlots));
        const std::string state = reader.text("state", "active");
        if (state == "draining")
            upstream.state = UpstreamState::Draining;
        else if (state != "active")
            reader.addFault("state", "'" + state + "' is neither active nor draining");
        reader.rejectUnknownKeys();
        return upstream;
    }

    void attachUpstream(Upstream upstream, std::map<std::string, Pool>& pools, std::vector<Fault>& faults)
    {
        const std::string section = "upstream " + upstream.name;
        const auto pool = pools.find(upstream.pool);
        if (pool == pools.end()) {
            if (!upstream.pool.empty())
                faults.push_back({ PoolsTable, section, "pool", "no pool is named '" + upstream.pool + "'" });
            return;
        }
        if (upstream.shard >= pool->second.shards)
            faults.push_back({ PoolsTable, section, "shard", "is not less than the pool's number of shards" });
        if (upstream.connections < upstream.slots)
            faults.push_back({ PoolsTable, section, "connections", "is less than the number of slots" });
        pool->second.upstreams.push_back(std::move(upstream));
    }

    std::vector<Pool> readPools(const IniDocument& document, std::vector<Fault>& faults)
    {
        std::map<std::string, Pool> pools;
        std::vector<Upstream> upstreams;
        for (const IniSection& section : document.sections) {
            SectionReader reader(PoolsTable, section, faults);
            const auto [kind, name] = splitSectionName(section.name);
            if (kind == "pool" && !name.empty())
                pools.emplace(name, readPool(name, reader));
            else if (kind == "upstream" && !name.empty())
                upstreams.push_back(readUpstream(name, reader));
            else
                reader.addFault({}, "is not a section of the form [pool NAME] or [upstream NAME]");
        }
        std::ranges::sort(upstreams, {}, &Upstream::name);
        for (Upstream& upstream : upstreams)
            attachUpstream(std::move(upstream), pools, faults);
        std::vector<Pool> sorted;
        sorted.reserve(pools.size());
        for (auto& [name, pool] : pools)
            sorted.push_back(std::move(pool));
        return sorted;
    }

    void checkDuplicateEndpoints(const std::vector<Pool>& pools, std::vector<Fault>& faults)
    {
        std::map<std::string, std::string> upstreamsByEndpoint;
        for (const Pool& pool : pools) {
            for (const Upstream& upstream : pool.upstreams) {
                const auto [existing, isInserted] = upstreamsByEndpoint.emplace(upstream.endpoint(), upstream.name);
                if (!isInserted)
                    faults.push_back({ PoolsTable, "upstream " + upstream.name, "address",
                        upstream.endpoint() + " is already the address of " + existing->second });
            }
        }
    }

    void checkShardsCovered(const std::vector<Pool>& pools, std::vector<Fault>& faults)
    {
        for (const Pool& pool : pools) {
            if (pool.upstreams.empty()) {
                faults.push_back({ PoolsTable, "pool " + pool.name, {}, "has no upstream" });
                continue;
            }
            std::set<std::uint32_t> covered;
            for (const Upstream& upstream : pool.upstreams)
                covered.insert(upstream.shard);
            if (covered.size() < pool.shards)
                faults.push_back({ PoolsTable, "pool " + pool.name, "shards",
                    "only " + std::to_string(covered.size()) + " of " + std::to_string(pool.shards)
                        + " shards have an upstream" });
        }
    }

    void checkRouteOverlaps(const std::vector<Route>& routes, std::vector<Fault>& faults)
    {
        std::map<std::pair<std::string, std::string>, std::string> routesByMatch;
        for (const Route& route : routes) {
            const auto [existing, isInserted]
                = routesByMatch.emplace(std::pair(route.method, route.pathPrefix), route.name);
            if (!isInserted)
                faults.push_back({ RoutesTable, "route " + route.name, "path",
                    "overlaps with route " + existing->second + ": same method and path" });
        }
    }

    void checkPoolShares(const std::vector<Route>& routes, std::vector<Fault>& faults)
    {
        constexpr double Tolerance = 1e-9;
        std::map<std::string, double> sums;
        for (const Route& route : routes)
            sums[route.pool] += route.share;
        for (const auto& [pool, sum] : sums) {
            if (sum > 1 + Tolerance)
                faults.push_back({ RoutesTable, {}, "share", "the shares of routes to pool '" + pool + "' exceed 1" });
        }
    }

    void checkPoolReferences(const Tables& tables, std::vector<Fault>& faults)
    {
        for (const Route& route : tables.routes) {
            const Pool* pool = tables.pool(route.pool);
            if (!pool && !route.pool.empty())
                faults.push_back(
                    { RoutesTable, "route " + route.name, "pool", "no pool is named '" + route.pool + "'" });
            if (pool && pool->kind == PoolKind::Search && !route.isIdempotent)
                faults.push_back({ RoutesTable, "route " + route.name, "idempotent", "must be yes for a search pool" });
        }
    }

} // namespace

tl::expected<Tables, std::vector<Fault>> parseTables(
    Revision revision, std::string_view routesText, std::string_view poolsText)
{
    std::vector<Fault> faults;
    const IniDocument routesDocument = readDocument(RoutesTable, routesText, faults);
    const IniDocument poolsDocument = readDocument(PoolsTable, poolsText, faults);
    Tables tables { revision, readRoutes(routesDocument, faults), readPools(poolsDocument, faults) };
    checkPoolReferences(tables, faults);
    checkRouteOverlaps(tables.routes, faults);
    checkPoolShares(tables.routes, faults);
    checkDuplicateEndpoints(tables.pools, faults);
    checkShardsCovered(tables.pools, faults);
    if (faults.empty())
        return tables;
    std::ranges::sort(faults);
    return tl::unexpected(std::move(faults));
}

} // namespace flamingousher::tables
