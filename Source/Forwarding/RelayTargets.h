#pragma once

#include "Base/Ids.h"

#include <vector>

namespace Mangofall::Forwarding {

/**
 * \brief The hosts to which \p self passes on what all hosts must learn: those at the distances 1, 2, 4 and so on in the ring of \p hosts.
 *
 * If each host passes on what is new to it, all learn it after about log2 of their number steps, also if some of them do not answer. \p hosts is ascending;
 * \p self may be missing there.
 */
std::vector<HostId> relayTargets(const std::vector<HostId> &hosts, const HostId &self);

}
