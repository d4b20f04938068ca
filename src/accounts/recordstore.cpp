#include "accounts/recordstore.h"

namespace flamingousher::accounts {

RecordStore::RecordStore(std::size_t capacity)
    : capacity_(capacity)
{
}

void RecordStore::add(RequestRecord record)
{
    const std::string id = record.requestId;
    if (!records_.insert_or_assign(id, std::move(record)).second)
        return;
    insertionOrder_.push_back(id);
    if (insertionOrder_.size() <= capacity_)
        return;
    records_.erase(insertionOrder_.front());
    insertionOrder_.pop_front();
}

std::optional<RequestRecord> RecordStore::find(const std::string& requestId) const
{
    const auto found = records_.find(requestId);
    return found == records_.end() ? std::nullopt : std::optional(found->second);
}

} // namespace flamingousher::accounts
