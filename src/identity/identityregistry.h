#pragma once

#include "base/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>

namespace flamingousher::identity {

// The identity of a non-idempotent request. Callers send it as "ENDPOINT~BOOT~NUMBER~NONCE".
struct Identity {
    std::string endpoint; // of the issuing process, for other nodes
    std::uint64_t boot { 0 }; // incarnation of the issuing process
    std::uint64_t number { 0 };
    std::uint64_t nonce { 0 };

    bool operator==(const Identity&) const = default;
};

std::string toString(const Identity&);
std::optional<Identity> parseIdentity(const std::string&);

// The stored response to a request that has run.
struct StoredResponse {
    unsigned status { 0 };
    std::string contentType;
    std::string body;

    bool operator==(const StoredResponse&) const = default;
};

// The caller of begin() must now run the request, once.
struct Granted {
    bool operator==(const Granted&) const = default;
};

// The request is running.
struct InProgress {
    bool operator==(const InProgress&) const = default;
};

// The request has run. Holds its response.
struct Completed {
    StoredResponse response;

    bool operator==(const Completed&) const = default;
};

// The request was sent but its outcome is unknown. It must not be sent again.
struct OutcomeUnknown {
    bool operator==(const OutcomeUnknown&) const = default;
};

// Another process incarnation issued the identity, and only that incarnation can verify it.
struct IssuedElsewhere {
    Identity identity;

    bool operator==(const IssuedElsewhere&) const = default;
};

// The identity has expired or was never issued. Its request may have run before.
struct Unverifiable {
    bool operator==(const Unverifiable&) const = default;
};

// The identity has already been used for a different request.
struct RequestMismatch {
    bool operator==(const RequestMismatch&) const = default;
};

using BeginResult
    = std::variant<Granted, InProgress, Completed, OutcomeUnknown, IssuedElsewhere, Unverifiable, RequestMismatch>;

struct IdentityRegistrySettings {
    std::size_t capacity { 100'000 };
    base::Duration lifetime { std::chrono::minutes(10) };
    std::size_t storedBodyBytes { 16 * 1024 }; // maximum; longer responses are not stored

    bool operator==(const IdentityRegistrySettings&) const = default;
};

// Issues identities and allows the request of each to run at most once. Only the process incarnation that issued
// an identity may run its request, and it keeps the state in memory: another process, a restart or a network
// partition cannot cause a second run. Performs no I/O.
class IdentityRegistry {
public:
    IdentityRegistry(const std::string& endpoint, std::uint64_t boot, IdentityRegistrySettings,
        std::function<std::uint64_t()> random);

    // Returns nullopt if the number of outstanding identities has reached the capacity.
    std::optional<std::string> issue(base::TimePoint now);

    // Decides whether the request may be sent now. After Granted, one of the finish functions must be called.
    BeginResult begin(const std::string& identity, std::uint64_t fingerprint, base::TimePoint now);

    void finishNotRun(const std::string& identity); // certainly not run; the request may be sent again
    void finishRun(const std::string& identity, StoredResponse);
    void finishUnknown(const std::string& identity);

    bool isIssuedHere(const Identity& identity) const
    {
        return identity.endpoint == endpoint_ && identity.boot == boot_;
    }

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
        StoredResponse response;
    };

    Entry* find(const std::string& identity);
    void expire(base::TimePoint now);

    std::string endpoint_;
    std::uint64_t boot_;
    IdentityRegistrySettings settings_;
    std::function<std::uint64_t()> random_;
    std::uint64_t lastNumber_ { 0 };
    std::map<std::uint64_t, Entry> entries_; // by number, which is also the order of expiration
};

} // namespace flamingousher::identity
