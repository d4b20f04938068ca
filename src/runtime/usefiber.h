#pragma once

#include <boost/asio/async_result.hpp>
#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>
#include <boost/system/system_error.hpp>

#include <optional>
#include <tuple>
#include <utility>

namespace flamingousher::runtime {

// Completion token that suspends the calling fiber until an asynchronous operation of Boost.Asio completes.
// The operation must complete on the thread of the fiber. Errors are stored in the given error code, or else thrown
// as boost::system::system_error.
class UseFiber {
public:
    UseFiber() = default;
    explicit UseFiber(boost::system::error_code& error)
        : error_(&error)
    {
    }

    UseFiber operator[](boost::system::error_code& error) const { return UseFiber(error); }

    boost::system::error_code* error() const { return error_; }

private:
    boost::system::error_code* error_ { nullptr };
};

inline const UseFiber useFiber;

namespace detail {

    // Lives on the stack of the suspended fiber and is filled in by the completion handler.
    template <typename... Results> struct Completion {
        boost::fibers::waker waker;
        bool isDone { false };
        bool isWaiting { false };
        boost::system::error_code error;
        std::optional<std::tuple<Results...>> results; // optional, as not every result is default-constructible
    };

    template <typename... Results> class CompletionHandler {
    public:
        explicit CompletionHandler(Completion<Results...>& completion)
            : completion_(&completion)
        {
        }

        template <typename... Arguments> void operator()(boost::system::error_code error, Arguments&&... arguments)
        {
            completion_->error = error;
            completion_->results.emplace(std::forward<Arguments>(arguments)...);
            completion_->isDone = true;
            if (completion_->isWaiting)
                completion_->waker.wake();
        }

    private:
        Completion<Results...>* completion_;
    };

    template <typename... Results> void awaitCompletion(Completion<Results...>& completion)
    {
        boost::fibers::context* self = boost::fibers::context::active();
        while (!completion.isDone) {
            completion.waker = self->create_waker();
            completion.isWaiting = true;
            self->suspend();
        }
    }

} // namespace detail

} // namespace flamingousher::runtime

namespace boost::asio {

template <typename... Results>
class async_result<flamingousher::runtime::UseFiber, void(boost::system::error_code, Results...)> {
public:
    template <typename Initiation, typename... Arguments>
    static auto initiate(
        Initiation&& initiation, const flamingousher::runtime::UseFiber& token, Arguments&&... arguments)
    {
        namespace detail = flamingousher::runtime::detail;
        detail::Completion<std::decay_t<Results>...> completion;
        std::forward<Initiation>(initiation)(
            detail::CompletionHandler<std::decay_t<Results>...>(completion), std::forward<Arguments>(arguments)...);
        detail::awaitCompletion(completion);
        if (token.error())
            *token.error() = completion.error;
        else if (completion.error)
            throw boost::system::system_error(completion.error);
        if constexpr (sizeof...(Results) == 1)
            return std::get<0>(*std::move(completion.results));
    }
};

} // namespace boost::asio
