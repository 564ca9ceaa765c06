#pragma once

#include "Placement/SuspectState.h"

#include <optional>
#include <vector>

namespace Mangofall::Placement {

/**
 * \class EvictedSuspects
 * \brief Keeps the only crash of suspects that a full record has evicted, in a table of fixed size.
 *
 * A crash that breaks off requests with thousands of parts each adds more suspects than the record holds. Without this memory the first crash of a harmful part
 * would be forgotten before its second one. Of two suspects with the same place in the table the later one is kept. The table takes 4 MB from the first use on.
 */
class EvictedSuspects
{
public:
    void add(SuspectId suspect, CrashId crash);
    /// Removes the suspect and returns its crash; empty if it is not kept.
    std::optional<CrashId> take(SuspectId suspect);

private:
    struct Slot {
        SuspectId suspect = 0;
        CrashId crash = 0; ///< 0 if the slot is free.
    };

    std::vector<Slot> m_slots;
};

}
