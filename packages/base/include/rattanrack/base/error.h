#pragma once

#include <boost/leaf.hpp>

#include <concepts>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

namespace rattanrack {

/// Why an operation failed. Every code has one message, see `message`.
enum class ErrorCode {
    InvalidArgument,
    InvalidConfiguration,
    NotFound,
    Conflict,
    Refused,
    Unavailable,
    OutcomeUnknown,
    DeadlineExceeded,
    MalformedMessage,
    Unauthorized,
    Internal,
};

/// The text that people read for `code`. Lives as long as the program.
std::string_view message(ErrorCode code);

/// A failed operation: what went wrong, during which step, and with which peer.
struct Error {
    ErrorCode code { ErrorCode::Internal };
    std::string step; ///< What was being done, such as "table.read".
    std::string peer; ///< With whom, such as "10.0.0.3:7000"; empty when nobody else took part.
    std::string detail; ///< What is particular to this case; may be empty.

    friend bool operator==(const Error&, const Error&) = default;
};

/// One line: message, step, peer and detail.
std::string describe(const Error&);
std::ostream& operator<<(std::ostream&, const Error&);

/// A value of type T or an Error. Check it with `if (!result)`, pass it on with BOOST_LEAF_AUTO and BOOST_LEAF_CHECK,
/// or take both cases apart with `handle`.
template <typename T> using Result = boost::leaf::result<T>;

/// Makes a failed Result.
///
///     return fail(ErrorCode::Unavailable, "table.read", address, "connection refused");
inline boost::leaf::error_id fail(Error error) { return boost::leaf::new_error(std::move(error)); }
inline boost::leaf::error_id fail(ErrorCode code, std::string step, std::string peer = {}, std::string detail = {})
{
    return fail(Error { code, std::move(step), std::move(peer), std::move(detail) });
}

/// Runs `operation`, which returns a Result<T>, and turns a failure into a T by `onError(const Error&)`. Errors reach
/// only the `handle` that is active on the same thread when they are made.
///
///     auto rows = handle([&] { return table.read(keys); }, [&](const Error& error) { return Rows {}; });
template <typename Operation, typename OnError> auto handle(Operation&& operation, OnError&& onError)
{
    return boost::leaf::try_handle_all(
        std::forward<Operation>(operation), [&](const Error& error) { return onError(error); },
        [&] {
            return onError(Error { ErrorCode::Internal, "unknown", "", "" });
        });
}

/// The value of `operation`, which returns a Result<T>, or nothing when it failed; `onError(const Error&)` is told why.
///
///     const auto rows = valueOrNothing([&] { return table.read(keys); });
template <typename Operation, typename OnError> auto valueOrNothing(Operation&& operation, OnError&& onError)
{
    using Value = std::decay_t<decltype(operation().value())>;
    return handle(
        [&]() -> Result<std::optional<Value>> {
            BOOST_LEAF_AUTO(value, operation());
            return std::optional<Value> { std::move(value) };
        },
        [&](const Error& error) {
            onError(error);
            return std::optional<Value> {};
        });
}
template <typename Operation> auto valueOrNothing(Operation&& operation)
{
    return valueOrNothing(std::forward<Operation>(operation), [](const Error&) {});
}

} // namespace rattanrack
