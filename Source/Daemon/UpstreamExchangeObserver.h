#pragma once

#include "Base/AttemptId.h"
#include "Base/Time.h"
#include "Peer/PeerMessages_generated.h"

#include <cstdint>

namespace Mangofall {

/**
 * \class UpstreamExchangeResult
 * \brief Result of one HTTP exchange of an attempt with its upstream.
 */
struct UpstreamExchangeResult {
    AttemptId attempt;
    std::uint64_t connection = 0;
    Wire::StreamOutcome outcome = Wire::StreamOutcome::Broken;
    bool connectFailed = false; ///< The connection could not be made.
    std::uint32_t tokens = 0;
    std::uint64_t promptTokens = 0; ///< 0 if the upstream did not report it.
    std::uint64_t cachedTokens = 0;
    Duration prefill{0}; ///< Time from sending the request to the first data of the answer; 0 if there was none.
};

/**
 * \class UpstreamExchangeObserver
 * \brief Receives the progress of an UpstreamExchange, on the thread of the exchange.
 */
class UpstreamExchangeObserver
{
public:
    virtual ~UpstreamExchangeObserver() = default;
    virtual void answerStarted(const AttemptId &attempt, std::uint64_t connection, unsigned status, const std::string &contentType) = 0;
    virtual void firstTokenReceived(const AttemptId &attempt) = 0;
    virtual void dataReceived(const AttemptId &attempt, std::uint64_t connection, std::uint32_t index, std::string_view data) = 0;
    virtual void exchangeEnded(const UpstreamExchangeResult &result) = 0;
};

}
