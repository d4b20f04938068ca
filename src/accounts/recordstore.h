#pragma once

#include "accounts/requestrecord.h"

#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

namespace flamingousher::accounts {

// Keeps the newest records of slow, partial and refused answers, up to a fixed number.
class RecordStore {
public:
    explicit RecordStore(std::size_t capacity);

    void add(RequestRecord);
    std::optional<RequestRecord> find(const std::string& requestId) const;
    std::size_t size() const { return records_.size(); }

private:
    std::size_t capacity_;
    std::unordered_map<std::string, RequestRecord> records_;
    std::deque<std::string> order_; // oldest first
};

} // namespace flamingousher::accounts
