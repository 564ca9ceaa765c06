#pragma once

#include "Base/AttemptId.h"
#include "Base/Time.h"
#include "Peer/PeerMessages_generated.h"

#include <cstdint>

namespace Mangofall {

/**
 * \class UpstreamExchangeResult
 * \brief How one connection of an attempt to its upstream ended.
 */
struct UpstreamExchangeResult {
    AttemptId attempt;
    std::uint64_t connection = 0;
    Wire::StreamOutcome outcome = Wire::StreamOutcome::Broken;
    bool connectFailed = false; ///< The connection could not be made.
    std::uint32_t tokens = 0;
    std::uint64_t promptTokens = 0; ///< 0 if the upstream did not tell.
    std::uint64_t cachedTokens = 0;
    Duration prefill{0}; ///< From the send to the first token; 0 if there was none.
};

/**
 * \class UpstreamExchangeObserver
 * \brief Learns the progress of an UpstreamExchange, on the run's thread.
 */
class UpstreamExchangeObserver
{
public:
    virtual ~UpstreamExchangeObserver() = default;
    virtual void runStarted(const AttemptId &attempt, std::uint64_t connection, unsigned status, const std::string &contentType) = 0;
    virtual void runFirstToken(const AttemptId &attempt) = 0;
    virtual void runData(const AttemptId &attempt, std::uint64_t connection, std::uint32_t index, std::string_view data) = 0;
    virtual void runEnded(const UpstreamExchangeResult &result) = 0;
};

}
