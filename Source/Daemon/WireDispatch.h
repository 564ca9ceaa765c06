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

/// Answers \p dispatch as refused before any byte was written. \p runAt names the only host that may run it; empty for any.
void refuseDispatch(const Wire::DispatchT &dispatch, ReplyTarget &reply, ErrorKind error, const HostId &runAt = {});

}
