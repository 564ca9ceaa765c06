#pragma once

namespace Mangofall::Placement {

/// How the use of a grant ended at the upstream.
enum class GrantOutcome {
    Completed,
    Cancelled, ///< The caller left or the grant was given up; says nothing about the upstream.
    Unreachable, ///< No connection could be made.
    Rejected, ///< The upstream refused the request before it started it.
    WrongUpstream, ///< Another upstream answered at the address.
    Failed, ///< The upstream started the request and answered with an error.
    Broken, ///< The connection ended before the answer was complete.
    Silent, ///< Nothing arrived from the upstream for too long.
    Malformed, ///< The answer could not be parsed or was not the answer to the request.
    Unused, ///< Nothing was sent to the upstream; says nothing about it. Hosts of older builds take it for Cancelled.
};

/// Whether no byte of the request was sent to the upstream.
inline bool wasNotSent(GrantOutcome outcome)
{
    return outcome == GrantOutcome::Unused || outcome == GrantOutcome::Unreachable;
}

}
