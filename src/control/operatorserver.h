#pragma once

#include "accounts/requestrecord.h"
#include "http/server.h"
#include "metrics/registry.h"

#include <functional>
#include <optional>
#include <string>

namespace flamingousher::control {

// What the operators' port shows, supplied by the process.
struct OperatorHooks {
    std::function<std::string()> stateJson;
    std::function<std::string()> configurationJson;
    std::function<std::string()> peersJson;
    std::function<metrics::Snapshot()> metrics;
    std::function<bool()> isReady;
    std::function<std::optional<accounts::RequestRecord>(const std::string&)> findRecord;
};

// Answers requests on the operators' port.
http::Handler makeOperatorHandler(OperatorHooks);

} // namespace flamingousher::control
