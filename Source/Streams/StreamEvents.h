#pragma once

#include "Base/AttemptId.h"
#include "Base/ErrorKind.h"
#include "Base/Ids.h"

#include <cstdint>
#include <string>
#include <variant>

namespace Mangofall {

/// Number of a connection within a session; a new one for each connection that carries an attempt.
using ConnectionNumber = std::uint64_t;

/// Answer to ChooseUpstream.
struct UpstreamChosen {
    std::uint64_t choice = 0; ///< Number from ChooseUpstream.
    UpstreamId upstream;
    AttemptId attempt; ///< A new attempt id.
};

/// Answer to ChooseUpstream: no upstream may take the request.
struct UpstreamUnavailable {
    std::uint64_t choice = 0;
    ErrorKind reason = ErrorKind::NoUpstream;
};

struct TokenReceived {
    AttemptId attempt;
    ConnectionNumber connection = 0;
    std::uint32_t index = 0;
    std::string text;
};

/// The upstream's last event.
struct StreamCompleted {
    AttemptId attempt;
    ConnectionNumber connection = 0;
    std::uint32_t tokens = 0; ///< Tokens of the whole answer, those before a resumption included.
};

/// The call on this connection did no work: no byte was written to the upstream, or it answered that it refused before work.
struct AttemptRefused {
    AttemptId attempt;
    ConnectionNumber connection = 0;
    ErrorKind reason = ErrorKind::UpstreamRefused;
};

/// The upstream cannot continue at the requested token.
struct ResumeRejected {
    AttemptId attempt;
    ConnectionNumber connection = 0;
};

struct ConnectionBroken {
    AttemptId attempt;
    ConnectionNumber connection = 0;
};

/// Answer to ProbeUpstream.
struct ProbeAnswered {
    std::uint64_t probe = 0;
    bool responsive = false;
};

/// Health or membership says that the upstream lost all its attempts.
struct UpstreamLost {
    UpstreamId upstream;
};

/// The previous Deliver was written to the caller; one more may follow.
struct CallerReady {
};

/// The caller's connection ended.
struct CallerLeft {
    bool mayReturn = false; ///< Keep the session for a caller that comes back.
};

/// The caller came back.
struct CallerReturned {
    std::uint32_t nextToken = 0; ///< One past the last event id that the caller has.
};

struct StreamTick {
};

using StreamEvent = std::variant<UpstreamChosen,
                                 UpstreamUnavailable,
                                 TokenReceived,
                                 StreamCompleted,
                                 AttemptRefused,
                                 ResumeRejected,
                                 ConnectionBroken,
                                 ProbeAnswered,
                                 UpstreamLost,
                                 CallerReady,
                                 CallerLeft,
                                 CallerReturned,
                                 StreamTick>;

}
