#include "identity/identityregistry.h"

#include <charconv>
#include <vector>

namespace flamingousher::identity {

namespace {

    constexpr char Separator = '~';

    std::optional<std::uint64_t> parseNumber(const std::string& text)
    {
        std::uint64_t number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size() || text.empty())
            return std::nullopt;
        return number;
    }

    std::vector<std::string> split(const std::string& text)
    {
        std::vector<std::string> fields(1);
        for (char character : text) {
            if (character == Separator)
                fields.emplace_back();
            else
                fields.back() += character;
        }
        return fields;
    }

} // namespace

std::string toString(const Identity& identity)
{
    return identity.endpoint + Separator + std::to_string(identity.boot) + Separator + std::to_string(identity.number)
        + Separator + std::to_string(identity.nonce);
}

std::optional<Identity> parseIdentity(const std::string& text)
{
    const std::vector<std::string> fields = split(text);
    if (fields.size() != 4)
        return std::nullopt;
    const auto boot = parseNumber(fields[1]);
    const auto number = parseNumber(fields[2]);
    const auto nonce = parseNumber(fields[3]);
    if (!boot || !number || !nonce)
        return std::nullopt;
    return Identity { fields[0], *boot, *number, *nonce };
}

IdentityRegistry::IdentityRegistry(const std::string& endpoint, std::uint64_t boot, IdentityRegistrySettings settings,
    std::function<std::uint64_t()> random)
    : endpoint_(endpoint)
    , boot_(boot)
    , settings_(settings)
    , random_(std::move(random))
{
}

void IdentityRegistry::expire(base::TimePoint now)
{
    while (!entries_.empty()) {
        const Entry& oldest = entries_.begin()->second;
        if (oldest.expiresAt > now || oldest.state == State::Running)
            return;
        entries_.erase(entries_.begin());
    }
}

std::optional<std::string> IdentityRegistry::issue(base::TimePoint now)
{
    expire(now);
    if (entries_.size() >= settings_.capacity)
        return std::nullopt;
    const Identity identity { endpoint_, boot_, ++lastNumber_, random_() };
    entries_.emplace(identity.number, Entry { identity.nonce, now + settings_.lifetime });
    return toString(identity);
}

BeginResult IdentityRegistry::begin(const std::string& text, std::uint64_t fingerprint, base::TimePoint now)
{
    expire(now);
    const std::optional<Identity> identity = parseIdentity(text);
    if (!identity)
        return Unverifiable {};
    if (!isIssuedHere(*identity))
        return IssuedElsewhere { *identity };
    Entry* entry = find(text);
    if (!entry || entry->expiresAt <= now)
        return Unverifiable {};
    if (entry->fingerprint && *entry->fingerprint != fingerprint)
        return RequestMismatch {};
    entry->fingerprint = fingerprint;
    switch (entry->state) {
    case State::Unused:
        entry->state = State::Running;
        return Granted {};
    case State::Running:
        return InProgress {};
    case State::Run:
        return Completed { entry->response };
    case State::Unknown:
        return OutcomeUnknown {};
    }
    return Unverifiable {};
}

IdentityRegistry::Entry* IdentityRegistry::find(const std::string& text)
{
    const std::optional<Identity> identity = parseIdentity(text);
    if (!identity)
        return nullptr;
    const auto found = entries_.find(identity->number);
    if (found == entries_.end() || found->second.nonce != identity->nonce)
        return nullptr;
    return &found->second;
}

void IdentityRegistry::finishNotRun(const std::string& identity)
{
    if (Entry* entry = find(identity))
        entry->state = State::Unused;
}

void IdentityRegistry::finishRun(const std::string& identity, StoredResponse response)
{
    Entry* entry = find(identity);
    if (!entry)
        return;
    const bool isStored = response.body.size() <= settings_.storedBodyBytes;
    entry->state = isStored ? State::Run : State::Unknown;
    if (isStored)
        entry->response = std::move(response);
}

void IdentityRegistry::finishUnknown(const std::string& identity)
{
    if (Entry* entry = find(identity))
        entry->state = State::Unknown;
}

} // namespace flamingousher::identity
