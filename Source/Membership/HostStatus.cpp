#include "Membership/HostStatus.h"

#include <tuple>

namespace Mangofall::Membership {

bool supersedes(const HostStatus &claim, const HostStatus &known)
{
    return std::tie(claim.incarnation, claim.sequence, claim.state) > std::tie(known.incarnation, known.sequence, known.state);
}

}
