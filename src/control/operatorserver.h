#pragma once

#include "accounts/requestrecord.h"
#include "http/server.h"
#include "metrics/registry.h"

#include <functional>
#include <optional>
#include <string>

namespace flamingousher::control {

// Supply the data that the operators' port serves.
struct OperatorHooks {
    std::function<std::string()> stateJson;
    std::function<std::string()> configurationJson;
    std::function<std::string()> peersJson;
    std::function<metrics::Snapshot()> metrics;
    std::function<bool()> isReady;
    std::function<std::optional<accounts::RequestRecord>(const std::string&)> findRecord;
};

// Returns the handler of requests on the operators' port.
http::Handler makeOperatorHandler(OperatorHooks);

} // namespace flamingousher::control
