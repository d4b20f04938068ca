#include "control/directcontroller.h"

namespace flamingousher::control {

namespace {

    // Log lines per publication. A starting VM discovers all upstreams at once.
    constexpr std::size_t MaxLoggedChanges = 8;

    const char* eventName(discovery::EvacuationChange change)
    {
        switch (change) {
        case discovery::EvacuationChange::Began:
            return "evacuation_began";
        case discovery::EvacuationChange::Ended:
            return "evacuation_ended";
        case discovery::EvacuationChange::Deferred:
            return "evacuation_deferred";
        }
        return "evacuation";
    }

} // namespace

DirectController::DirectController(eventlog::EventLog& log, Hooks hooks)
    : log_(log)
    , hooks_(std::move(hooks))
    , registry_([this](const discovery::UpstreamEntry& entry, const char* change) { logChange(entry, change); })
    , evacuations_([this](const discovery::EvacuationOrder& order, discovery::EvacuationChange change) {
        log_.writeChange(eventName(change), { { "zone", order.zone }, { "store_revision", order.revision } });
    })
{
}

void DirectController::logChange(const discovery::UpstreamEntry& entry, const char* change)
{
    if (++unpublishedChanges_ > MaxLoggedChanges)
        return;
    log_.writeChange("upstream",
        { { "change", change }, { "upstream", entry.id }, { "service", entry.service }, { "endpoint", entry.endpoint },
            { "zone", entry.zone }, { "started_at", entry.startedAt }, { "sequence", entry.sequence } });
}

void DirectController::onConfiguration(const routing::Configuration& configuration)
{
    const bool isRewritten = mayBeRewritten_ && configuration.version == version_ && configuration != *configuration_;
    if (configuration.version <= version_ && !isRewritten) {
        if (configuration.version < version_)
            log_.writeChange("configuration_older", { { "version", configuration.version }, { "in_force", version_ } });
        return;
    }
    const std::uint64_t before = std::exchange(version_, configuration.version);
    mayBeRewritten_ = mayBeRewritten_ && isRewritten;
    configuration_ = std::make_shared<const routing::Configuration>(configuration);
    hooks_.applyRoutes(std::make_shared<const routing::RouteTable>(configuration_));
    log_.writeChange("configuration",
        { { "version", version_ }, { "before", before }, { "routes", configuration.routes.size() },
            { "services", configuration.services.size() } });
}

void DirectController::onAllUpstreams(const std::vector<discovery::UpstreamEntry>& entries)
{
    registry_.replaceAll(entries, hooks_.now());
}

void DirectController::onUpstream(const discovery::UpstreamEntry& entry)
{
    registry_.put(entry, hooks_.now());
}

void DirectController::onUpstreamRemoved(const std::string& id)
{
    registry_.remove(id, hooks_.now());
}

void DirectController::onEvacuations(const std::vector<discovery::EvacuationOrder>& orders)
{
    evacuations_.replaceAll(orders, hooks_.now());
}

void DirectController::onStoreUnavailable(const base::Error& error)
{
    registry_.onStoreUnavailable(hooks_.now());
    evacuations_.onStoreUnavailable(hooks_.now());
    log_.writeChange("store_lost", { { "reason", toString(error) }, { "version", version_ } });
}

void DirectController::onStoreAvailable()
{
    registry_.onStoreAvailable(hooks_.now());
    evacuations_.onStoreAvailable(hooks_.now());
    log_.writeChange("store_regained", { { "version", version_ } });
}

void DirectController::onStoreRestored(std::uint64_t revision)
{
    mayBeRewritten_ = configuration_ != nullptr;
    registry_.onStoreRestored(hooks_.now());
    evacuations_.onStoreRestored(revision, hooks_.now());
}

void DirectController::onDecodeError(const base::Error& error)
{
    ++decodeErrors_;
    log_.writeDecision("entry_unreadable", { { "reason", toString(error) } });
}

std::vector<discovery::DiscoveredUpstream> DirectController::usableUpstreams() const
{
    std::vector<discovery::DiscoveredUpstream> upstreams = registry_.upstreams();
    std::erase_if(upstreams, [this](const discovery::DiscoveredUpstream& upstream) {
        return evacuations_.isEvacuated(upstream.entry.zone);
    });
    return upstreams;
}

void DirectController::publish()
{
    const bool haveEvacuationsChanged
        = std::exchange(publishedEvacuationChanges_, evacuations_.changeCount()) != evacuations_.changeCount();
    if (registry_.changeCount() == publishedChangeCount_ && !haveEvacuationsChanged)
        return;
    publishedChangeCount_ = registry_.changeCount();
    const std::size_t changes = std::exchange(unpublishedChanges_, 0);
    if (changes > MaxLoggedChanges)
        log_.writeChange("upstreams", { { "changes", changes }, { "known", registry_.upstreams().size() } });
    std::vector<discovery::DiscoveredUpstream> usable = usableUpstreams();
    if (haveEvacuationsChanged)
        log_.writeChange("evacuation_in_force",
            { { "zones", evacuations_.active().size() }, { "withheld", registry_.upstreams().size() - usable.size() },
                { "usable", usable.size() } });
    hooks_.applyUpstreams(std::move(usable));
}

void DirectController::tick()
{
    registry_.tick(hooks_.now());
    evacuations_.tick(hooks_.now());
    publish();
}

} // namespace flamingousher::control
