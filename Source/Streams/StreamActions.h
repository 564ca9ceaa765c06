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

/// Choose an upstream; answer with UpstreamChosen or UpstreamUnavailable.
struct ChooseUpstream {
    std::uint64_t choice = 0;
    std::uint32_t firstToken = 0; ///< If not 0, the upstream must continue another upstream's answer at this token.
    std::unordered_set<UpstreamId> excluded; ///< Upstreams that failed this request.
};

/// Start or resume \c attempt over a new connection.
struct OpenAttempt {
    AttemptId attempt;
    UpstreamId upstream;
    ConnectionNumber connection = 0;
    std::uint32_t firstToken = 0;
    bool resumes = false; ///< The upstream had this attempt before.
};

/// Close a connection; what it still carries is dropped.
struct CloseConnection {
    ConnectionNumber connection = 0;
};

/// Stop the attempt at the upstream and free its memory.
struct CancelAttempt {
    AttemptId attempt;
    UpstreamId upstream;
};

/// Call the upstream over a new connection; answer with ProbeAnswered.
struct ProbeUpstream {
    UpstreamId upstream;
    std::uint64_t probe = 0;
};

/// Neither the stream nor a probe on a new connection was answered.
struct SuspectUpstream {
    UpstreamId upstream;
};

/// Stop reading from the upstream connection.
struct PauseReading {
    ConnectionNumber connection = 0;
};

struct ResumeReading {
    ConnectionNumber connection = 0;
};

/// Write tokens to the caller; answer with CallerReady.
struct Deliver {
    std::uint32_t firstToken = 0;
    std::uint32_t count = 0;
    std::string text;
};

/// The answer is complete; the last action of a session.
struct Finish {
    std::uint32_t tokens = 0;
};

/// The answer ends with an error; the last action of a session.
struct Fail {
    ErrorKind kind = ErrorKind::Internal;
    bool notRun = false; ///< The answer says that the request did not run.
};

using StreamAction = std::
    variant<ChooseUpstream, OpenAttempt, CloseConnection, CancelAttempt, ProbeUpstream, SuspectUpstream, PauseReading, ResumeReading, Deliver, Finish, Fail>;

}
