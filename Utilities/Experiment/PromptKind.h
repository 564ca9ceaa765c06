#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <string>

namespace Mangofall::Experiment {

/**
 * \class PromptKind
 * \brief A kind of prompt that callers send: its rate, its lengths, its time limits and the credit for its answers.
 */
struct PromptKind {
    std::string name;
    double perSecond = 0; ///< Mean rate of arrivals per second, over all data centres, outside bursts.
    double meanPromptTokens = 0;
    double promptLogDeviation = 0; ///< Standard deviation of the natural logarithm of the prompt length.
    double maxPromptTokens = 0;
    double meanOutputTokens = 0;
    Duration target{}; ///< Longest time until the first event that earns the whole credit.
    Duration pauseLimit{}; ///< Longest pause between two events that earns the whole credit.
    Duration deadline{}; ///< Time after the arrival when the caller gives up a request whose answer is not complete.
    double credit = 0; ///< Earned by an answer on time to a request of mean size.
    double lateCredit = 0; ///< Earned by a late answer to a request of mean size.
};

}
