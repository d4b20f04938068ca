#include "wire/codec.h"

#include "wire/internal/compactmember.h"

#include <algorithm>

namespace flamingousher::wire {

using base::Error;
using base::ErrorCode;
using base::Step;
using std::chrono::duration_cast;
using std::chrono::microseconds;

namespace {

    constexpr std::size_t InitialBufferBytes = 1024;
    constexpr std::size_t MaxTables = 1'000'000;
    constexpr std::size_t MaxDepth = 16;

    std::int64_t toMicroseconds(base::Duration duration)
    {
        return duration_cast<microseconds>(duration).count();
    }

    std::unique_ptr<fb::NodeInfoT> pack(const fleet::NodeInfo& node)
    {
        auto packed = std::make_unique<fb::NodeInfoT>();
        packed->endpoint = node.id.endpoint;
        packed->boot = node.id.boot;
        packed->zone = node.zone;
        packed->region = node.region;
        packed->operators = node.operators;
        packed->traffic_threads = node.trafficThreads;
        packed->fanouts = node.fanouts;
        packed->processor_milli = node.processorMilli;
        return packed;
    }

    fleet::NodeInfo unpack(const std::unique_ptr<fb::NodeInfoT>& packed)
    {
        if (!packed)
            return {};
        return { { packed->endpoint, packed->boot }, packed->zone, packed->region, packed->operators,
            packed->traffic_threads, packed->fanouts, packed->processor_milli };
    }

    std::unique_ptr<fb::GossipT> pack(const fleet::Gossip& gossip)
    {
        auto packed = std::make_unique<fb::GossipT>();
        packed->revision = gossip.configuration.revision;
        packed->digest = gossip.configuration.digest;
        packed->era = gossip.configuration.era;
        packed->view_digest = gossip.viewDigest;
        packed->view_buckets = gossip.viewBuckets;
        for (const fleet::MemberUpdate& update : gossip.members) {
            if (update.isUnlinked)
                packed->unlinked.push_back(update.node.id.boot);
            if (packCompact(update, *packed))
                continue;
            auto member = std::make_unique<fb::MemberUpdateT>();
            member->node = pack(update.node);
            member->state = static_cast<std::uint8_t>(update.state);
            member->refutation = update.refutation;
            packed->members.push_back(std::move(member));
        }
        packed->crash_digest = gossip.crashDigest;
        for (const fleet::CrashReport& report : gossip.crashes) {
            auto crash = std::make_unique<fb::CrashRecordT>();
            crash->fingerprint = report.record.fingerprint;
            crash->upstream = report.record.upstream;
            crash->version = report.record.version;
            crash->crashes = report.record.crashes;
            crash->age_ms
                = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(report.age).count());
            packed->crashes.push_back(std::move(crash));
        }
        return packed;
    }

    fleet::Gossip unpack(const std::unique_ptr<fb::GossipT>& packed)
    {
        fleet::Gossip gossip;
        if (!packed)
            return gossip;
        gossip.configuration = { packed->revision, packed->digest, packed->era };
        gossip.viewDigest = packed->view_digest;
        gossip.viewBuckets = packed->view_buckets;
        for (const fb::CompactMember& member : packed->compact_members) {
            if (auto update = unpackCompact(member, *packed))
                gossip.members.push_back(*std::move(update));
        }
        for (const auto& member : packed->members)
            gossip.members.push_back({ unpack(member->node), toMemberState(member->state), member->refutation });
        for (fleet::MemberUpdate& update : gossip.members)
            update.isUnlinked = std::ranges::find(packed->unlinked, update.node.id.boot) != packed->unlinked.end();
        gossip.crashDigest = packed->crash_digest;
        for (const auto& crash : packed->crashes) {
            gossip.crashes.push_back({ { crash->fingerprint, crash->version, crash->crashes, crash->upstream },
                std::chrono::milliseconds(crash->age_ms) });
        }
        return gossip;
    }

    std::vector<std::unique_ptr<fb::SectionT>> pack(const fleet::Sections& sections)
    {
        std::vector<std::unique_ptr<fb::SectionT>> packed;
        for (const auto& [name, body] : sections) {
            packed.push_back(std::make_unique<fb::SectionT>());
            packed.back()->name = name;
            packed.back()->body = body;
        }
        return packed;
    }

    fleet::Sections unpack(const std::vector<std::unique_ptr<fb::SectionT>>& packed)
    {
        fleet::Sections sections;
        for (const auto& section : packed)
            sections.insert_or_assign(section->name, section->body);
        return sections;
    }

    void setBody(fb::BodyUnion& body, const fleet::Ping& ping)
    {
        fb::PingT packed;
        packed.sequence = ping.sequence;
        packed.from = pack(ping.from);
        packed.target_endpoint = ping.target.endpoint;
        packed.target_boot = ping.target.boot;
        packed.gossip = pack(ping.gossip);
        body.Set(std::move(packed));
    }

    void setBody(fb::BodyUnion& body, const fleet::Ack& ack)
    {
        fb::AckT packed;
        packed.sequence = ack.sequence;
        packed.from = pack(ack.from);
        packed.gossip = pack(ack.gossip);
        body.Set(std::move(packed));
    }

    void setBody(fb::BodyUnion& body, const fleet::PingRequest& request)
    {
        fb::PingRequestT packed;
        packed.sequence = request.sequence;
        packed.from = pack(request.from);
        packed.target_endpoint = request.target.endpoint;
        packed.target_boot = request.target.boot;
        body.Set(std::move(packed));
    }

    template <typename Packed, typename Message> void setUpstreams(fb::BodyUnion& body, const Message& message)
    {
        Packed packed;
        packed.from = pack(message.from);
        packed.upstreams = message.upstreams;
        body.Set(std::move(packed));
    }

    void setBody(fb::BodyUnion& body, const fleet::ClaimMessage& claim)
    {
        setUpstreams<fb::ClaimT>(body, claim);
    }
    void setBody(fb::BodyUnion& body, const fleet::ReleaseMessage& release)
    {
        setUpstreams<fb::ReleaseT>(body, release);
    }

    void setBody(fb::BodyUnion& body, const fleet::TablesRequest& request)
    {
        fb::TablesRequestT packed;
        packed.from = pack(request.from);
        packed.revision = request.current.revision;
        packed.digest = request.current.digest;
        body.Set(std::move(packed));
    }

    void setBody(fb::BodyUnion& body, const fleet::TablesReply& reply)
    {
        fb::TablesReplyT packed;
        packed.from = pack(reply.from);
        packed.base = reply.delta.from;
        packed.revision = reply.delta.to;
        packed.digest = reply.delta.digest;
        packed.changed_routes = pack(reply.delta.changedRoutes);
        packed.changed_pools = pack(reply.delta.changedPools);
        packed.removed_routes = reply.delta.removedRoutes;
        packed.removed_pools = reply.delta.removedPools;
        body.Set(std::move(packed));
    }

    void setBody(fb::BodyUnion& body, const fleet::FleetMessage& message)
    {
        std::visit([&](const auto& content) { setBody(body, content); }, message);
    }

    void setBody(fb::BodyUnion& body, const Hello& hello)
    {
        fb::HelloT packed;
        packed.from = pack(hello.from);
        packed.nonce = hello.nonce;
        body.Set(std::move(packed));
    }

    std::unique_ptr<fb::SubRequestT> pack(const RemoteRequest& remote)
    {
        auto packed = std::make_unique<fb::SubRequestT>();
        const transport::SubRequest& request = remote.request;
        packed->id = request.id;
        packed->upstream = remote.upstream;
        packed->rank = static_cast<std::uint8_t>(request.rank);
        packed->caller = request.caller;
        packed->remaining_us = toMicroseconds(remote.remaining);
        packed->fingerprint = request.fingerprint;
        packed->known_crashes = request.knownCrashes;
        if (const auto* search = std::get_if<transport::SearchCall>(&request.call)) {
            packed->is_search = true;
            packed->version = search->target.version;
            packed->shard = search->target.shard;
            packed->shards = search->target.shards;
            packed->text = search->text;
            packed->limit = search->limit;
            return packed;
        }
        const auto& call = std::get<transport::ServiceCall>(request.call);
        packed->method = call.method;
        packed->target = call.target;
        packed->content_type = call.contentType;
        packed->body = call.body;
        packed->identity = call.identity;
        return packed;
    }

    RemoteRequest unpack(const fb::SubRequestT& packed)
    {
        RemoteRequest remote;
        remote.upstream = packed.upstream;
        remote.remaining = microseconds(packed.remaining_us);
        remote.request.id = packed.id;
        remote.request.rank = static_cast<base::Rank>(std::min<std::uint8_t>(packed.rank, base::RankCount - 1));
        remote.request.caller = packed.caller;
        remote.request.fingerprint = packed.fingerprint;
        remote.request.knownCrashes = packed.known_crashes;
        if (packed.is_search) {
            remote.request.call
                = transport::SearchCall { { packed.version, packed.shard, packed.shards }, packed.text, packed.limit };
        } else {
            remote.request.call = transport::ServiceCall { packed.method, packed.target, packed.content_type,
                packed.body, packed.identity };
        }
        return remote;
    }

    std::unique_ptr<fb::SubResultT> pack(const RemoteResult& remote)
    {
        auto packed = std::make_unique<fb::SubResultT>();
        packed->id = remote.id;
        packed->queued_us = toMicroseconds(remote.result.queued);
        packed->served_us = toMicroseconds(remote.result.served);
        if (!remote.result.value) {
            const Error& error = remote.result.value.error();
            packed->is_error = true;
            packed->code = static_cast<std::uint8_t>(error.code);
            packed->step = static_cast<std::uint8_t>(error.step);
            packed->run_state = static_cast<std::uint8_t>(error.runState);
            packed->peer = error.peer;
            packed->detail = error.detail;
            return packed;
        }
        if (const auto* answer = std::get_if<query::SubAnswer>(&*remote.result.value)) {
            packed->is_search = true;
            packed->version = answer->served.version;
            packed->shard = answer->served.shard;
            packed->shards = answer->served.shards;
            for (const query::Hit& hit : answer->hits) {
                packed->hits.push_back(std::make_unique<fb::HitT>());
                packed->hits.back()->id = hit.id;
                packed->hits.back()->title = hit.title;
                packed->hits.back()->score = hit.score;
            }
            return packed;
        }
        const auto& answer = std::get<transport::ServiceAnswer>(*remote.result.value);
        packed->status = answer.status;
        packed->content_type = answer.contentType;
        packed->body = answer.body;
        return packed;
    }

    RemoteResult unpack(fb::SubResultT& packed)
    {
        RemoteResult remote;
        remote.id = packed.id;
        remote.result.queued = microseconds(packed.queued_us);
        remote.result.served = microseconds(packed.served_us);
        if (packed.is_error) {
            // Values unknown to this version map to the most conservative ones: they prove nothing about the request.
            const auto state = packed.run_state <= static_cast<std::uint8_t>(base::RunState::Unknown)
                ? static_cast<base::RunState>(packed.run_state)
                : base::RunState::Unknown;
            const auto code = packed.code <= static_cast<std::uint8_t>(ErrorCode::Invalid)
                ? static_cast<ErrorCode>(packed.code)
                : ErrorCode::Invalid;
            const auto step
                = packed.step <= static_cast<std::uint8_t>(Step::Peer) ? static_cast<Step>(packed.step) : Step::Peer;
            remote.result.value = tl::unexpected(Error { code, step, packed.peer, packed.detail, state });
            return remote;
        }
        if (packed.is_search) {
            query::SubAnswer answer { { packed.version, packed.shard, packed.shards }, {} };
            for (const auto& hit : packed.hits)
                answer.hits.push_back({ std::move(hit->id), std::move(hit->title), hit->score });
            remote.result.value = std::move(answer);
        } else {
            remote.result.value
                = transport::ServiceAnswer { packed.status, packed.content_type, std::move(packed.body) };
        }
        return remote;
    }

    std::unique_ptr<fb::UpstreamStatusT> pack(const RemoteStatus& remote)
    {
        auto packed = std::make_unique<fb::UpstreamStatusT>();
        packed->upstream = remote.upstream;
        packed->is_draining = remote.status.isDraining;
        for (const query::ServedShard& shard : remote.status.served) {
            packed->served.push_back(std::make_unique<fb::ServedT>());
            packed->served.back()->version = shard.version;
            packed->served.back()->shard = shard.shard;
            packed->served.back()->shards = shard.shards;
        }
        return packed;
    }

    RemoteStatus unpack(const fb::UpstreamStatusT& packed)
    {
        RemoteStatus remote { packed.upstream, { packed.is_draining, 0, {} } };
        for (const auto& shard : packed.served)
            remote.status.served.push_back({ shard->version, shard->shard, shard->shards });
        return remote;
    }

    void setBody(fb::BodyUnion& body, const Batch& batch)
    {
        fb::BatchT packed;
        for (const RemoteRequest& request : batch.requests)
            packed.requests.push_back(pack(request));
        for (const RemoteResult& result : batch.results)
            packed.results.push_back(pack(result));
        for (const RemoteStatus& status : batch.statuses)
            packed.statuses.push_back(pack(status));
        for (const RemoteCancel& cancel : batch.cancels) {
            packed.cancels.push_back(std::make_unique<fb::CancelT>());
            packed.cancels.back()->id = cancel.id;
            packed.cancels.back()->upstream = cancel.upstream;
        }
        packed.wanted_statuses = batch.statusSubscriptions;
        body.Set(std::move(packed));
    }

    Batch unpack(const fb::BatchT& packed)
    {
        Batch batch;
        for (const auto& request : packed.requests)
            batch.requests.push_back(unpack(*request));
        for (const auto& result : packed.results)
            batch.results.push_back(unpack(*result));
        for (const auto& status : packed.statuses)
            batch.statuses.push_back(unpack(*status));
        for (const auto& cancel : packed.cancels)
            batch.cancels.push_back({ cancel->id, cancel->upstream });
        batch.statusSubscriptions = packed.wanted_statuses;
        return batch;
    }

    void setBody(fb::BodyUnion& body, const IdentityRequest& request)
    {
        fb::IdentityRequestT packed;
        packed.id = request.id;
        packed.method = request.call.method;
        packed.target = request.call.target;
        packed.content_type = request.call.contentType;
        packed.body = request.call.body;
        packed.identity = request.call.identity;
        packed.caller = request.caller;
        packed.remaining_us = toMicroseconds(request.remaining);
        body.Set(std::move(packed));
    }

    void setBody(fb::BodyUnion& body, const IdentityResult& result)
    {
        fb::IdentityResultT packed;
        packed.id = result.id;
        packed.status = result.answer.status;
        packed.content_type = result.answer.contentType;
        packed.body = result.answer.body;
        body.Set(std::move(packed));
    }

    fleet::TablesReply unpack(const fb::TablesReplyT& packed)
    {
        fleet::TablesDelta delta { packed.base, packed.revision, packed.digest, unpack(packed.changed_routes),
            unpack(packed.changed_pools), packed.removed_routes, packed.removed_pools };
        return { unpack(packed.from), std::move(delta) };
    }

    std::optional<Content> unpack(fb::BodyUnion& body)
    {
        using fleet::FleetMessage;
        if (const fb::PingT* ping = body.AsPing()) {
            return FleetMessage(fleet::Ping { ping->sequence, unpack(ping->from),
                { ping->target_endpoint, ping->target_boot }, unpack(ping->gossip) });
        }
        if (const fb::AckT* ack = body.AsAck())
            return FleetMessage(fleet::Ack { ack->sequence, unpack(ack->from), unpack(ack->gossip) });
        if (const fb::PingRequestT* request = body.AsPingRequest()) {
            return FleetMessage(fleet::PingRequest {
                request->sequence, unpack(request->from), { request->target_endpoint, request->target_boot } });
        }
        if (const fb::ClaimT* claim = body.AsClaim())
            return FleetMessage(fleet::ClaimMessage { unpack(claim->from), claim->upstreams });
        if (const fb::ReleaseT* release = body.AsRelease())
            return FleetMessage(fleet::ReleaseMessage { unpack(release->from), release->upstreams });
        if (const fb::TablesRequestT* request = body.AsTablesRequest()) {
            return FleetMessage(fleet::TablesRequest { unpack(request->from), { request->revision, request->digest } });
        }
        if (const fb::TablesReplyT* reply = body.AsTablesReply())
            return FleetMessage(unpack(*reply));
        if (const fb::HelloT* hello = body.AsHello())
            return Hello { unpack(hello->from), hello->nonce };
        if (const fb::BatchT* batch = body.AsBatch())
            return unpack(*batch);
        if (const fb::IdentityRequestT* request = body.AsIdentityRequest()) {
            return IdentityRequest { request->id,
                { request->method, request->target, request->content_type, request->body, request->identity },
                request->caller, microseconds(request->remaining_us) };
        }
        if (const fb::IdentityResultT* result = body.AsIdentityResult())
            return IdentityResult { result->id, { result->status, result->content_type, result->body } };
        return std::nullopt;
    }

} // namespace

std::string encode(const Content& content)
{
    fb::EnvelopeT envelope;
    envelope.version = ProtocolVersion;
    std::visit([&](const auto& message) { setBody(envelope.body, message); }, content);
    flatbuffers::FlatBufferBuilder builder(InitialBufferBytes);
    builder.Finish(fb::Envelope::Pack(builder, &envelope));
    return { reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize() };
}

tl::expected<Content, Error> decode(const std::string& peer, std::string_view bytes)
{
    const auto refuse = [&](const char* detail) {
        return tl::unexpected(Error { ErrorCode::ProtocolViolation, Step::Peer, peer, detail, base::RunState::NotRun });
    };
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size(), MaxDepth, MaxTables);
    if (!fb::VerifyEnvelopeBuffer(verifier))
        return refuse("malformed message");
    const fb::Envelope* envelope = fb::GetEnvelope(data);
    if (envelope->version() != ProtocolVersion)
        return refuse("unsupported protocol version");
    fb::EnvelopeT unpacked;
    envelope->UnPackTo(&unpacked);
    std::optional<Content> content = unpack(unpacked.body);
    if (!content)
        return refuse("unknown message type");
    return *std::move(content);
}

} // namespace flamingousher::wire
