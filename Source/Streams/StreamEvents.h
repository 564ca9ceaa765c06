#pragma once

#include "Base/AttemptId.h"
#include "Base/ErrorKind.h"
#include "Base/Ids.h"

#include <cstdint>
#include <string>
#include <variant>

namespace Mangofall {

/// Number of a connection within a session; each connection that carries an attempt gets a new one.
using ConnectionNumber = std::uint64_t;

/// Answer to ChooseUpstream: the upstream for the next attempt.
struct UpstreamChosen {
    std::uint64_t choice = 0; ///< Number from ChooseUpstream.
    UpstreamId upstream;
    AttemptId attempt; ///< Newly assigned id of the attempt.
};

/// Answer to ChooseUpstream: no upstream may take the request.
struct UpstreamUnavailable {
    std::uint64_t choice = 0; ///< Number from ChooseUpstream.
    ErrorKind reason = ErrorKind::NoUpstream;
};

/// The upstream sent one token.
struct TokenReceived {
    AttemptId attempt;
    ConnectionNumber connection = 0;
    std::uint32_t index = 0; ///< Index of the token within the whole answer, from 0.
    std::string text;
};

/// The upstream reported the end of the answer; its last event.
struct StreamCompleted {
    AttemptId attempt;
    ConnectionNumber connection = 0;
    std::uint32_t tokens = 0; ///< Number of tokens of the whole answer, including those before a resumption.
};

/// The call over this connection caused no work: no byte was written to the upstream, or the upstream answered that it refused the call before
/// doing any work.
struct AttemptRefused {
    AttemptId attempt;
    ConnectionNumber connection = 0;
    ErrorKind reason = ErrorKind::UpstreamRefused;
};

/// The upstream cannot continue the answer at the requested token.
struct ResumeRejected {
    AttemptId attempt;
    ConnectionNumber connection = 0;
};

/// The connection to the upstream failed before the end of the answer.
struct ConnectionBroken {
    AttemptId attempt;
    ConnectionNumber connection = 0;
};

/// Answer to ProbeUpstream.
struct ProbeAnswered {
    std::uint64_t probe = 0; ///< Number from ProbeUpstream.
    bool responsive = false; ///< Whether the upstream answered the probe.
};

/// Health checks or membership report that the upstream lost all its attempts.
struct UpstreamLost {
    UpstreamId upstream;
};

/// The previous Deliver has been written to the caller, so the next one may follow.
struct CallerReady {
};

/// The caller's connection was closed.
struct CallerLeft {
    bool mayReturn = false; ///< Whether the session is kept, so that the caller can reconnect.
};

/// The caller reconnected.
struct CallerReturned {
    std::uint32_t nextToken = 0; ///< Index of the token after the last one that the caller received.
};

/// Time passed: due timeouts and backoffs are handled.
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
