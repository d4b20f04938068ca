#include "wire/mac.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>

namespace flamingousher::wire {

Mac computeMac(const std::string& key, std::string_view prefix, std::string_view payload)
{
    std::string text;
    text.reserve(prefix.size() + payload.size());
    text.append(prefix);
    text.append(payload);
    std::array<std::uint8_t, EVP_MAX_MD_SIZE> digest {};
    unsigned length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char*>(text.data()),
        text.size(), digest.data(), &length);
    Mac mac {};
    std::copy_n(digest.begin(), MacBytes, mac.begin());
    return mac;
}

bool isEqual(const Mac& left, const Mac& right)
{
    return CRYPTO_memcmp(left.data(), right.data(), MacBytes) == 0;
}

} // namespace flamingousher::wire
