#include "upstreamclient/internal/connection.h"

#include "runtime/connect.h"
#include "runtime/fiberthread.h"
#include "runtime/socketoptions.h"
#include "runtime/usefiber.h"

#include <boost/asio/write.hpp>

namespace flamingousher::upstreamclient {

namespace beast = boost::beast;
using base::Error;
using base::ErrorCode;
using base::RunState;
using base::Step;
using boost::system::error_code;
using runtime::useFiber;

namespace {

    // Upstreams in the same region accept within milliseconds; a lost SYN is retransmitted only after a second.
    constexpr std::chrono::milliseconds ConnectTimeout { 400 };

    // The connection is considered lost when the peer's kernel does not acknowledge sent data for this long. Kernels of
    // paused upstreams still acknowledge.
    constexpr runtime::LossDetection UpstreamLossDetection { .unacknowledged = std::chrono::milliseconds(500),
        .keepaliveIdle = std::chrono::seconds(2),
        .keepaliveInterval = std::chrono::seconds(1),
        .keepaliveProbes = 2 };

    // An idle connection is not used this close to the end of the upstream's announced idle timeout.
    constexpr base::Duration IdleMargin = std::chrono::milliseconds(700);

    // An attempt is aborted this long after its deadline: no answer is expected any more.
    constexpr base::Duration DeadlineGracePeriod = std::chrono::milliseconds(100);

    // An upstream at its limit, or a device in front of it, resets a new connection within this time.
    constexpr base::Duration ProofTime = std::chrono::milliseconds(50);

    constexpr std::size_t ReadBytes = 4'096;

    // Bytes of an attempt beside its response body: header fields, chunk headers, interim and unmatched responses.
    constexpr std::size_t MaxOverheadBytes = 64 * 1024;

    constexpr unsigned FirstFinalStatus = 200;

} // namespace

Connection::Connection(boost::asio::io_context& io, std::shared_ptr<ConnectionPool> pool)
    : pool_(std::move(pool))
    , io_(io)
    , socket_(io)
{
}

bool Connection::connect()
{
    auto socket = runtime::connectWithin(io_, pool_->settings_.endpoint, ConnectTimeout);
    if (!socket || isClosing_) {
        if (!socket)
            connectError_ = socket.error();
        if (closeReason_.empty())
            closeReason_ = socket ? "closed" : socket.error().message();
        return false;
    }
    socket_ = *std::move(socket);
    runtime::setConnectionOptions(socket_, UpstreamLossDetection);
    error_code ignored;
    socket_.non_blocking(true, ignored);
    isOpen_ = true;
    openedAt_ = pool_->hooks_.now();
    lastProgress_ = openedAt_;
    return true;
}

void Connection::run()
{
    const auto self = shared_from_this();
    if (!connect()) {
        isClosing_ = true;
        ++pool_->counters_.openFailed;
        fail(ErrorCode::Unreachable, Step::Connect, closeReason_, RunState::NotRun);
        pool_->onClosed(self, false);
        pool_->onConnectFailed();
        if (connectError_ == boost::asio::error::connection_refused)
            pool_->reportCrash();
        else
            pool_->lostAttempts_.clear();
        return;
    }
    if (attempt_)
        write();
    else
        pool_->hooks_.onCapacity();
    error_code error;
    while (!isClosing_) {
        const std::size_t received = socket_.async_read_some(buffer_.prepare(ReadBytes), useFiber[error]);
        if (error)
            break;
        buffer_.commit(received);
        lastProgress_ = pool_->hooks_.now();
        attemptBytes_ += received;
        if (isEvicted_ || !isWithinByteLimit() || !guardErrors([this] { return parseReceived(); }))
            break;
        // A body of announced length is allocated whole when its head has arrived.
        if (attempt_)
            charge(buffer_.size() + (parser_ ? parser_->get().body().capacity() : 0));
    }
    isClosing_ = true;
    onReadEnded(error);
    memory_ = nullptr;
    error_code ignored;
    socket_.close(ignored);
    pool_->onClosed(self, responseCount_ == 0 && error == boost::asio::error::connection_reset);
}

// A response without a content length ends at EOF; after a reset it is incomplete.
void Connection::onReadEnded(const error_code& error)
{
    if (!attempt_)
        return;
    if (error == boost::asio::error::eof && parser_ && parser_->got_some() && parser_->need_eof()) {
        guardErrors([this] { return parseEnd(); });
        // It may have been the answer to another request.
        if (!attempt_)
            return;
    }
    ++pool_->counters_.lost;
    if (closeReason_.empty() && error && mayHaveBeenSent_)
        pool_->onAttemptLost(*attempt_);
    const bool isBroken = closeReason_.empty() && !error;
    pool_->counters_.invalid += isBroken ? 1 : 0;
    const ErrorCode code = isEvicted_ ? ErrorCode::Overloaded
        : isBroken                    ? ErrorCode::ProtocolViolation
                                      : ErrorCode::ConnectionLost;
    fail(code, Step::Receive, endReason(error), mayHaveBeenSent_ ? RunState::Unknown : RunState::NotRun);
}

std::string Connection::endReason(const error_code& error) const
{
    if (!closeReason_.empty())
        return closeReason_;
    if (error)
        return error.message();
    return invalidity_.empty() ? "invalid response" : "invalid response: " + invalidity_;
}

void Connection::start(const Attempt& attempt, AttemptCallback callback)
{
    attempt_ = attempt;
    callback_ = std::move(callback);
    mayHaveBeenSent_ = false;
    attemptBytes_ = 0;
    memory_ = nullptr;
    sentAt_ = pool_->hooks_.now();
    if (isOpen_)
        write();
}

void Connection::write()
{
    const base::TimePoint now = pool_->hooks_.now();
    sentAt_ = now;
    ++pool_->counters_.sent;
    std::string bytes = pool_->protocol_.encode(
        *attempt_->request, pool_->settings_.upstreamId, std::max(base::Duration::zero(), attempt_->deadline - now));
    error_code error;
    const std::size_t written = socket_.write_some(boost::asio::buffer(bytes), error);
    mayHaveBeenSent_ = written > 0;
    if (written == bytes.size())
        return;
    if (error && error != boost::asio::error::would_block) {
        close(error.message().c_str());
        return;
    }
    mayHaveBeenSent_ = true;
    isWriting_ = true;
    runtime::spawnFiber([self = shared_from_this(), rest = bytes.substr(written)] { self->finishWrite(rest); });
}

void Connection::finishWrite(std::string rest)
{
    error_code error;
    boost::asio::async_write(socket_, boost::asio::buffer(rest), useFiber[error]);
    isWriting_ = false;
    if (error)
        close(error.message().c_str());
}

// A faulty upstream may send bytes that are no answer without end.
bool Connection::isWithinByteLimit() const
{
    return !attempt_ || attemptBytes_ <= attempt_->maxResponseBytes + MaxOverheadBytes;
}

// Counts what is held of the attempt's response against the budget of the VM, which may evict it.
void Connection::charge(std::size_t bytes)
{
    if (!pool_->hooks_.openCharge)
        return;
    if (!memory_) {
        memory_ = std::make_shared<balancing::MemoryBudget::Charge>(pool_->hooks_.openCharge([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->evict();
        }));
    }
    memory_->resize(bytes);
}

void Connection::evict()
{
    isEvicted_ = true;
    ++pool_->counters_.evicted;
    close("the VM holds too many bytes of responses");
}

// An exception that escapes the fiber of a connection ends the process, with all requests in progress.
bool Connection::guardErrors(const std::function<bool()>& handle)
{
    try {
        return handle();
    } catch (const std::exception& exception) {
        invalidity_ = exception.what();
        ++pool_->counters_.unexpectedErrors;
        if (pool_->hooks_.onUnexpectedError)
            pool_->hooks_.onUnexpectedError(invalidity_);
        return false;
    }
}

// Ends a response whose body is delimited by the end of the connection.
bool Connection::parseEnd()
{
    error_code error;
    parser_->put_eof(error);
    if (error || !parser_->is_done())
        return false;
    return onResponse(parser_->release());
}

// Feeds received bytes to the parser. Returns false when the connection must not be reused.
bool Connection::parseReceived()
{
    while (buffer_.size() > 0) {
        if (!attempt_) {
            ++pool_->counters_.unmatched;
            return false;
        }
        if (!parser_) {
            parser_.emplace();
            parser_->eager(true);
            parser_->header_limit(MaxOverheadBytes);
            parser_->body_limit(attempt_->maxResponseBytes);
        }
        error_code error;
        buffer_.consume(parser_->put(buffer_.data(), error));
        if (error == beast::http::error::need_more)
            return true;
        if (error) {
            invalidity_ = error.message();
            return false;
        }
        if (!parser_->is_done())
            continue;
        const bool isReusable = onResponse(parser_->release());
        parser_.reset();
        if (!isReusable)
            return false;
    }
    return true;
}

// Handles one complete response. Returns false when the connection must not be reused.
bool Connection::onResponse(http::Response&& response)
{
    if (response.result_int() < FirstFinalStatus) {
        if (callback_ && attempt_->onInterim)
            attempt_->onInterim();
        return true;
    }
    bool isReusable = response.keep_alive() && !isWriting_;
    UpstreamReply reply = pool_->protocol_.decode(std::move(response));
    if (!reply.requestId.empty() && reply.requestId != attempt_->request->requestId) {
        ++pool_->counters_.unmatched;
        return isReusable;
    }
    charge(reply.response.body().capacity());
    if (isEvicted_)
        return false;
    ++responseCount_;
    pool_->onAnswered();
    ++pool_->counters_.answered;
    idleTimeout_ = reply.idleTimeout;
    if (reply.kind == ReplyKind::WrongUpstream) {
        isReusable = false;
        if (pool_->hooks_.onReplaced)
            pool_->hooks_.onReplaced();
    } else if (pool_->hooks_.onNotice) {
        pool_->hooks_.onNotice(reply.notice);
    }
    // Bytes after a complete response belong to no request.
    isReusable = isReusable && buffer_.size() == 0 && !pool_->isRetired_;
    // Set before the callback, which may look for a free connection.
    if (!isReusable)
        isClosing_ = true;
    // From here on the receiver of the reply decides whether it is evicted.
    if (memory_) {
        memory_->setEvict({});
        reply.memory = std::move(memory_);
    }
    finishAttempt(std::move(reply));
    if (isReusable && !attempt_)
        pool_->hooks_.onCapacity();
    return isReusable && !isClosing_;
}

void Connection::finishAttempt(AttemptResult result)
{
    const AttemptId id = attempt_->id;
    const bool isAnswered = result.has_value();
    attempt_.reset();
    AttemptCallback callback = std::exchange(callback_, nullptr);
    if (callback)
        callback(std::move(result));
    else
        pool_->hooks_.onDroppedFinished(id, isAnswered ? DroppedOutcome::Answered : DroppedOutcome::Aborted);
}

void Connection::fail(ErrorCode code, Step step, const std::string& detail, RunState runState)
{
    if (attempt_)
        finishAttempt(
            tl::unexpected(Error { code, step, http::toString(pool_->settings_.endpoint), detail, runState }));
}

bool Connection::drop(AttemptId id)
{
    if (!attempt_ || attempt_->id != id)
        return false;
    callback_ = nullptr;
    droppedAt_ = pool_->hooks_.now();
    if (!isOpen_) {
        // Nothing has been sent: the connection can be used by the next attempt.
        attempt_.reset();
        pool_->hooks_.onDroppedFinished(id, DroppedOutcome::NeverSent);
    } else if (attempt_->isAbortable && pool_->settings_.droppedAttemptTimeout <= base::Duration::zero()) {
        // At once, so that the peer notices before this thread goes on with other work.
        error_code ignored;
        socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
        close("dropped");
    }
    return true;
}

bool Connection::hasUnreadData(AttemptId id) const
{
    if (!attempt_ || attempt_->id != id || !isOpen_)
        return false;
    error_code error;
    return socket_.available(error) > 0;
}

void Connection::close(const char* reason)
{
    if (isClosing_)
        return;
    isClosing_ = true;
    closeReason_ = reason;
    error_code ignored;
    // Wakes the reading fiber, which fails the attempt.
    socket_.cancel(ignored);
}

bool Connection::isProven(base::TimePoint now) const
{
    return isEstablished() && (responseCount_ > 0 || now >= openedAt_ + ProofTime);
}

bool Connection::isStale() const
{
    return idleTimeout_ && pool_->hooks_.now() - lastProgress_ > *idleTimeout_ - IdleMargin;
}

bool Connection::isOverdue(base::TimePoint now) const
{
    if (!attempt_ || !isOpen_)
        return false;
    if (now > attempt_->deadline + DeadlineGracePeriod)
        return true;
    return !callback_ && attempt_->isAbortable && now > droppedAt_ + pool_->settings_.droppedAttemptTimeout;
}

} // namespace flamingousher::upstreamclient
