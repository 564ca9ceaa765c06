#pragma once

namespace Mangofall::Forwarding {

/// What a route's requests allow.
enum class RequestKind {
    Idempotent, ///< May run more than once; whole answers.
    AtMostOnce, ///< Orders: may run at most once; whole answers.
    Stream, ///< Answered by a stream of events; runs at most once unless the route is resumable.
};

}
