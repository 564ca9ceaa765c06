#include "Membership/DataCentreRoster.h"

namespace Mangofall::Membership {

bool merge(DataCentreRoster &roster, const DataCentreRoster &other)
{
    bool changed = false;
    for (const auto &[host, claim] : other.hosts) {
        const auto [known, added] = roster.hosts.try_emplace(host, claim);
        if (!added && supersedes(claim, known->second)) {
            known->second = claim;
            changed = true;
        }
        changed = changed || added;
    }
    return changed;
}

}
