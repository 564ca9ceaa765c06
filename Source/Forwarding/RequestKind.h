#pragma once

namespace Mangofall::Forwarding {

/// How often the requests of a route may run, and whether they are answered whole or as a stream.
enum class RequestKind {
    Idempotent, ///< May run more than once; answered whole.
    AtMostOnce, ///< Orders: may run at most once; answered whole.
    Stream, ///< Answered by a stream of events; runs at most once unless the route is resumable.
};

}
