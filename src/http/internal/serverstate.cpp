#include "http/internal/serverstate.h"

#include "http/internal/session.h"

namespace flamingousher::http {

void ServerState::closeReading(Reading reading) const
{
    for (const auto& [order, session] : waiting) {
        const bool hasArrived = reading == Reading::NextRequest && session->hasUnreadData();
        if (session->reading() == reading && !hasArrived)
            session->cancel();
    }
}

bool ServerState::closeLongestWaiting()
{
    Session* victim = nullptr;
    std::size_t mostConnections = 0;
    for (const auto& [order, session] : waiting) {
        const std::size_t connections = connectionsByAddress.at(session->address());
        if (session->isEvicted() || connections <= mostConnections)
            continue;
        victim = session;
        mostConnections = connections;
    }
    if (!victim)
        return false;
    victim->evict();
    return true;
}

} // namespace flamingousher::http
