#pragma once

#include "http/types.h"

#include <exception>
#include <functional>

namespace flamingousher::http {

using ErrorReport = std::function<void(const Request&, const Exchange&, const std::exception&)>;

// Returns a handler that answers 500 to a request whose handling throws, and reports the error.
Handler guardErrors(Handler, ErrorReport);

} // namespace flamingousher::http
