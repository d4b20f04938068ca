#pragma once

#include "entry/internal/entrystate.h"
#include "runtime/signal.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingousher::entry {

enum class DelegationOutcome : std::uint8_t {
    Answered, // the delegate's response is final
    NotRun, // no delegate has started the request, so this VM can run it
    Unacknowledged, // the delegate did not confirm that it had started; it may have
    Lost, // the delegate had started and did not answer
    Abandoned, // the caller disconnected
};

struct DelegationResult {
    DelegationOutcome outcome { DelegationOutcome::NotRun };
    std::string delegate; // endpoint of the last one
    std::string detail; // reason for any outcome except Answered
    std::optional<upstreamclient::UpstreamReply> reply; // if answered

    bool isAnswered() const { return reply.has_value(); }
};

// Delegates one request to another VM. Load pattern: a delegate freezes, is cut off or is overloaded
// at any time, and the latency goal is too short to wait until membership notices. A delegate therefore confirms each
// request when it starts, and this VM runs the request itself if the confirmation is late.
class DelegatedRequest : public std::enable_shared_from_this<DelegatedRequest> {
public:
    struct Limits {
        base::TimePoint deadline;
        base::Duration confirmWithin; // time to wait for the confirmation
        base::Duration typical; // median time of delegated requests of this kind
        std::size_t maxDelegates; // tried one after the other until one accepts
    };

    // Returns how long to wait for the confirmation of a request. canRunHere: this VM runs it itself otherwise.
    static base::Duration confirmationTime(base::Duration untilGoal, bool canRunHere);

    DelegatedRequest(EntryState&, std::shared_ptr<const upstreamclient::OutboundRequest>, const Limits&);

    // Blocks the calling fiber.
    DelegationResult run();

    // Called when the caller has disconnected.
    void abandon();

private:
    DelegationResult runAt(Delegates::DelegateId);
    void onResult(AttemptId, upstreamclient::AttemptResult);
    void onTimer();
    void armTimer(base::TimePoint);
    void finish(DelegationOutcome, const std::string& detail);

    EntryState& state_;
    std::shared_ptr<const upstreamclient::OutboundRequest> request_;
    Limits limits_;
    boost::asio::steady_timer timer_;
    Delegates::DelegateId delegate_ { 0 };
    AttemptId attempt_ { 0 }; // in progress; 0 if none
    bool isAcknowledged_ { false };
    bool isAbandoned_ { false };
    bool isWaiting_ { false };
    DelegationResult result_;
    runtime::Signal finished_;
};

} // namespace flamingousher::entry
