#pragma once

#include "base/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace flamingousher::identity {

// An identity of a non-idempotent request, as callers carry it: "ENDPOINT~BOOT~NUMBER~NONCE".
struct Identity {
    std::string endpoint; // where the issuing process can be asked
    std::uint64_t boot { 0 }; // incarnation of the issuing process
    std::uint64_t number { 0 };
    std::uint64_t nonce { 0 };

    bool operator==(const Identity&) const = default;
};

std::string toString(const Identity&);
std::optional<Identity> parseIdentity(const std::string&);

// The stored answer of a request that has run.
struct StoredAnswer {
    unsigned status { 0 };
    std::string contentType;
    std::string body;

    bool operator==(const StoredAnswer&) const = default;
};

// This process may run the request now, once.
struct MayRun {
    bool operator==(const MayRun&) const = default;
};

// The request is being run.
struct InProgress {
    bool operator==(const InProgress&) const = default;
};

// The request has been run: this was its answer.
struct HasRun {
    StoredAnswer answer;

    bool operator==(const HasRun&) const = default;
};

// The request was sent and its outcome is not known. It is not sent again.
struct OutcomeUnknown {
    bool operator==(const OutcomeUnknown&) const = default;
};

// Only another process may vouch for the identity.
struct IssuedElsewhere {
    Identity identity;

    bool operator==(const IssuedElsewhere&) const = default;
};

// The identity has expired or was never issued. It may have run before.
struct CannotVouch {
    bool operator==(const CannotVouch&) const = default;
};

// The identity was used for another request before.
struct OtherRequest {
    bool operator==(const OtherRequest&) const = default;
};

using Verdict = std::variant<MayRun, InProgress, HasRun, OutcomeUnknown, IssuedElsewhere, CannotVouch, OtherRequest>;

struct KeeperSettings {
    std::size_t capacity { 100'000 };
    base::Duration lifetime { std::chrono::minutes(10) };
    std::size_t storedBodyBytes { 16 * 1024 }; // a longer answer is not stored

    bool operator==(const KeeperSettings&) const = default;
};

// Issues identities and lets each be run at most once. An identity can be run only by the process incarnation
// that issued it, which holds everything about it in memory: no other process, no restart and no partition
// can run it a second time. Performs no I/O.
class IdentityKeeper {
public:
    IdentityKeeper(
        const std::string& endpoint, std::uint64_t boot, KeeperSettings, std::function<std::uint64_t()> random);

    // None when too many identities are outstanding.
    std::optional<std::string> issue(base::TimePoint now);

    // Whether the request may be sent now. After MayRun one of the calls below must follow.
    Verdict begin(const std::string& identity, std::uint64_t fingerprint, base::TimePoint now);

    void finishNotRun(const std::string& identity); // proved; it may be sent again
    void finishRun(const std::string& identity, StoredAnswer);
    void finishUnknown(const std::string& identity);

    bool isOwn(const Identity& identity) const { return identity.endpoint == endpoint_ && identity.boot == boot_; }

    std::size_t outstanding() const { return entries_.size(); }

private:
    enum class State : std::uint8_t {
        Unused,
        Running,
        Run,
        Unknown,
    };

    struct Entry {
        std::uint64_t nonce { 0 };
        base::TimePoint expiresAt;
        State state { State::Unused };
        std::optional<std::uint64_t> fingerprint;
        StoredAnswer answer;
    };

    Entry* find(const std::string& identity);
    void expire(base::TimePoint now);

    std::string endpoint_;
    std::uint64_t boot_;
    KeeperSettings settings_;
    std::function<std::uint64_t()> random_;
    std::uint64_t lastNumber_ { 0 };
    std::map<std::uint64_t, Entry> entries_; // by number, which is also the order of expiry
};

} // namespace flamingousher::identity
