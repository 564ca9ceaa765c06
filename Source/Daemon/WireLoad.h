#pragma once

#include "Admission/LoadSummary.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace Mangofall::Wire {
struct LoadT;
}

namespace Mangofall {

std::unique_ptr<Wire::LoadT> toWire(const LoadSummary &summary);

/// A state number outside the range of UpstreamState is read as UpstreamState::Unknown.
LoadSummary fromWire(const Wire::LoadT &load);

/// Encodes \p summaries for the load field of a heartbeat or digest, which membership does not interpret.
std::string encodeLoadReport(const std::vector<LoadSummary> &summaries);

/// The summaries of an encoded report; empty if \p bytes is not a valid one.
std::vector<LoadSummary> decodeLoadReport(std::string_view bytes);

}
