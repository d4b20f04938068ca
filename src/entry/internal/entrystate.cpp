#include "entry/internal/entrystate.h"

namespace flamingousher::entry {

namespace {

    constexpr std::size_t MaxRecords = 500;

    // A string that grows is copied, and freed memory is not reused at once. Most of the rest of a small VM is taken by
    // the entries of the upstreams, the connections and requests of callers.
    constexpr std::size_t ResponseMemoryDivisor = 5;

} // namespace

EntryState::EntryState(boost::asio::io_context& ioContext, const EntrySettings& entrySettings,
    const CallerProtocol& callerProtocol, const upstreamclient::UpstreamProtocol& upstreamProtocol,
    std::function<void(const std::string&)> writeLog, std::function<void(const quarantine::CrashRecord&)> crashReporter)
    : io(ioContext)
    , settings(entrySettings)
    , callers(callerProtocol)
    , upstreams(upstreamProtocol)
    , now([] { return std::chrono::steady_clock::now(); })
    , log({}, { now, std::move(writeLog) })
    , records(MaxRecords)
    , memory(entrySettings.memoryBytes / ResponseMemoryDivisor)
    , directory(ioContext, settings, upstreams, memory, log, now)
    , delegates(ioContext, settings, memory, log, now)
    , quarantine({ .knownSafeCapacity = 0 })
    , reportCrash(std::move(crashReporter))
{
}

void EntryState::applyRoutes(const std::shared_ptr<const routing::RouteTable>& table)
{
    routes = table;
    latencies.retain(table->configuration());
    directory.applyConfiguration(*table);
    updateDelegates();
}

void EntryState::onCrash(
    quarantine::Fingerprint fingerprint, std::uint32_t crashesWhenSent, const std::string& upstream)
{
    const auto record = quarantine.onCrash(fingerprint, crashesWhenSent, upstream, now());
    if (!record)
        return;
    logCrashRecord(*record, "seen");
    if (reportCrash)
        reportCrash(*record);
}

void EntryState::onAnswered(quarantine::Fingerprint fingerprint)
{
    const auto record = quarantine.onAnswered(fingerprint, now());
    if (!record)
        return;
    logCrashRecord(*record, "answered");
    if (reportCrash)
        reportCrash(*record);
}

void EntryState::logCrashRecord(const quarantine::CrashRecord& record, const char* how)
{
    log.writeDecision("crash_record",
        { { "fingerprint", record.fingerprint }, { "how", how }, { "crashes", record.crashes },
            { "version", record.version }, { "upstream", record.upstream },
            { "quarantined", quarantine.isQuarantined(record.fingerprint, now()) } });
}

void EntryState::updateDelegates()
{
    const delegation::DelegationPlan plan = directory.currentPlan();
    isDelegatingFanouts = plan.isDelegatingFanouts;
    if (delegates.set(plan.delegates, isDelegatingFanouts))
        unreachedRoutes.clear();
}

} // namespace flamingousher::entry
