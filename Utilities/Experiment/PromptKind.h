#pragma once

#include "Base/Time.h"

#include <cstdint>
#include <string>

namespace Mangofall::Experiment {

/**
 * \class PromptKind
 * \brief One kind of prompt that callers send: how often, how long, and what its answers are worth.
 */
struct PromptKind {
    std::string name;
    double perSecond = 0; ///< Mean arrivals, over all data centres.
    double meanPromptTokens = 0;
    double promptSpread = 0; ///< Standard deviation of the logarithm of the length.
    double maxPromptTokens = 0;
    double meanOutputTokens = 0;
    Duration target{}; ///< Time until the first piece that earns the whole credit.
    Duration pauseLimit{}; ///< Longest pause between pieces that earns the whole credit.
    Duration deadline{};
    double credit = 0; ///< Earned by an answer on time to a prompt of mean size.
    double lateCredit = 0;
};

}
