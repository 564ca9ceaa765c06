#pragma once

namespace Mangofall::Placement {

/// How the work of a grant ended at the upstream.
enum class GrantOutcome {
    Completed,
    Cancelled, ///< The caller left or the place was not used; says nothing about the upstream.
    Unreachable, ///< No connection could be made.
    Rejected, ///< The upstream refused before any work.
    WrongUpstream, ///< Another upstream answered at the address.
    Failed, ///< An error answer after the upstream had started.
    Broken, ///< The connection broke off or the answer was not readable.
    Silent, ///< Nothing arrived for too long.
};

}
