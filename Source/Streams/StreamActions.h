#pragma once

#include "Base/AttemptId.h"
#include "Base/ErrorKind.h"
#include "Base/Ids.h"
#include "Streams/StreamEvents.h"

#include <cstdint>
#include <string>
#include <unordered_set>
#include <variant>

namespace Mangofall {

/// Requests an upstream; answered with UpstreamChosen or UpstreamUnavailable.
struct ChooseUpstream {
    std::uint64_t choice = 0; ///< Number that the answer repeats.
    std::uint32_t firstToken = 0; ///< Index of the first token to generate; if not 0, the upstream must continue an answer that another upstream began.
    std::unordered_set<UpstreamId> excluded; ///< Upstreams on which an attempt of this request failed.
};

/// Starts or resumes \c attempt over a new connection.
struct OpenAttempt {
    AttemptId attempt;
    UpstreamId upstream;
    ConnectionNumber connection = 0;
    std::uint32_t firstToken = 0; ///< Index of the first token to send.
    bool resumes = false; ///< Whether this attempt was already started at the upstream.
};

/// Closes a connection; events that still arrive over it are dropped.
struct CloseConnection {
    ConnectionNumber connection = 0;
};

/// Stops the attempt at the upstream and frees its memory there.
struct CancelAttempt {
    AttemptId attempt;
    UpstreamId upstream;
};

/// Probes the upstream over a new connection; answered with ProbeAnswered.
struct ProbeUpstream {
    UpstreamId upstream;
    std::uint64_t probe = 0;
};

/// Reports that the upstream neither sent tokens nor answered a probe on a new connection.
struct SuspectUpstream {
    UpstreamId upstream;
};

/// Stops reading from the upstream connection.
struct PauseReading {
    ConnectionNumber connection = 0;
};

/// Reads from the upstream connection again.
struct ResumeReading {
    ConnectionNumber connection = 0;
};

/// Writes tokens to the caller; answered with CallerReady.
struct Deliver {
    std::uint32_t firstToken = 0; ///< Index of the first token in \c text.
    std::uint32_t count = 0; ///< Number of tokens in \c text.
    std::string text;
};

/// Ends the complete answer; the last action of a session.
struct Finish {
    std::uint32_t tokens = 0; ///< Number of tokens of the whole answer.
};

/// Ends the answer with an error; the last action of a session.
struct Fail {
    ErrorKind kind = ErrorKind::Internal;
    bool notRun = false; ///< Whether the error answer says that the request did not run.
};

using StreamAction = std::
    variant<ChooseUpstream, OpenAttempt, CloseConnection, CancelAttempt, ProbeUpstream, SuspectUpstream, PauseReading, ResumeReading, Deliver, Finish, Fail>;

}
