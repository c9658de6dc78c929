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

/// Returns the human-readable text of `code`. The view has static lifetime.
std::string_view message(ErrorCode code);

/// A failed operation: the kind of failure, the operation, and the remote side.
struct Error {
    ErrorCode code { ErrorCode::Internal };
    std::string step; ///< Operation that failed, such as "table.read".
    std::string peer; ///< Remote side, such as "10.0.0.3:7000"; empty when there was none.
    std::string detail; ///< Further information about this failure; may be empty.

    friend bool operator==(const Error&, const Error&) = default;
};

/// Formats message, step, peer and detail on one line.
std::string describe(const Error&);
std::ostream& operator<<(std::ostream&, const Error&);

/// A value of type T or an Error. Check it with `if (!result)`, propagate it with BOOST_LEAF_AUTO and BOOST_LEAF_CHECK,
/// or handle both cases with `handle`.
template <typename T> using Result = boost::leaf::result<T>;

/// Creates a failed Result.
///
///     return fail(ErrorCode::Unavailable, "table.read", address, "connection refused");
inline boost::leaf::error_id fail(Error error) { return boost::leaf::new_error(std::move(error)); }
inline boost::leaf::error_id fail(ErrorCode code, std::string step, std::string peer = {}, std::string detail = {})
{
    return fail(Error { code, std::move(step), std::move(peer), std::move(detail) });
}

/// Runs `operation`, which returns a Result<T>, and maps a failure to a T with `onError(const Error&)`. An error is
/// delivered only to a `handle` that is active on the same thread when the error is created; otherwise `onError`
/// receives ErrorCode::Internal.
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

/// Runs `operation`, which returns a Result<T>. Returns its value, or nullopt when it failed; `onError(const Error&)`
/// receives the error.
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
