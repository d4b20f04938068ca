#include "http/errorguard.h"

#include <utility>

namespace flamingousher::http {

// An exception that escapes a fiber ends the process, with all requests in progress. How far the request had come is
// unknown.
Handler guardErrors(Handler handler, ErrorReport report)
{
    return [handler = std::move(handler), report = std::move(report)](const Request& request, Exchange& exchange) {
        try {
            return handler(request, exchange);
        } catch (const std::exception& exception) {
            report(request, exchange, exception);
        }
        exchange.onPeerGone = nullptr;
        exchange.onWritten = nullptr;
        Response response = makeJsonResponse(request, Status::internal_server_error,
            "{\"error\":\"internal\",\"step\":\"handle\",\"run_state\":\"unknown\"}\n");
        response.keep_alive(false);
        return response;
    };
}

} // namespace flamingousher::http
