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

/// Numbers outside the enumerations' ranges are read as unknown state.
LoadSummary fromWire(const Wire::LoadT &load);

/// Encodes \p summaries for the opaque load field of a heartbeat.
std::string encodeLoadReport(const std::vector<LoadSummary> &summaries);

/// Empty if \p bytes is no valid report.
std::vector<LoadSummary> decodeLoadReport(std::string_view bytes);

}
