#pragma once

#include "store/objectclient.h"

#include <boost/leaf/handle_errors.hpp>

#include <utility>
#include <variant>

namespace Store {

/// The result of a call, or the kind of its failure.
template<typename T>
using Attempt = std::variant<T, FailureKind>;

/// Makes \a call, which returns a boost::leaf::result, and returns its value or the kind of its
/// Failure; FailureKind::Malformed for errors of other types. Thread-safe if \a call is.
template<typename F>
auto attempt(F &&call) -> Attempt<std::decay_t<decltype(call().value())>>
{
    using Result = Attempt<std::decay_t<decltype(call().value())>>;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<Result> {
            BOOST_LEAF_AUTO(value, call());
            return Result(std::in_place_index<0>, std::move(value));
        },
        [](const Failure &failure) -> Result { return failure.kind; },
        []() -> Result { return FailureKind::Malformed; });
}

} // namespace Store
