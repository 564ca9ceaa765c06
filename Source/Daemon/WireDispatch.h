#pragma once

#include "Base/ErrorKind.h"
#include "Base/Ids.h"

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace Mangofall::Wire {
struct DispatchT;
struct HeaderT;
}

namespace Mangofall {

class ReplyTarget;

std::vector<std::unique_ptr<Wire::HeaderT>> toWire(const std::vector<std::pair<std::string, std::string>> &headers);

/// Answers that \p dispatch was refused before any byte was sent to its upstream. \p runAt is the only host that may run the request; empty if any may.
void refuseDispatch(const Wire::DispatchT &dispatch, ReplyTarget &reply, ErrorKind error, const HostId &runAt = {});

}
