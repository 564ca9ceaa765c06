#pragma once

#include "Base/Ids.h"

#include <cstdint>
#include <map>

namespace Mangofall::Forwarding {

/**
 * \class AnswerSizes
 * \brief Estimates the bytes of an answer from the recent answers of the same service, as this host has received them.
 */
class AnswerSizes
{
public:
    /// Records a complete answer of \p bytes, with the framing of its chunks.
    void record(const ServiceId &service, std::uint64_t bytes);

    /// The expected bytes of an answer with at most \p outputTokens; 0 if nothing is known.
    std::uint64_t expected(const ServiceId &service, std::uint64_t outputTokens) const;

private:
    std::map<ServiceId, double> m_means;
};

}
