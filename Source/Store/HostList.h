#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Mangofall {

enum class HostListState {
    Live,
    Leaving,
};

/**
 * \class HostListEntry
 * \brief One entry of the platform's host list, which lags.
 */
struct HostListEntry {
    HostId id;
    std::string address; ///< As the platform lists it; an IP address, with a port if several hosts share the address.
    DataCentreId dataCentre;
    HostListState state = HostListState::Live;

    friend bool operator==(const HostListEntry &, const HostListEntry &) = default;
};

/**
 * \class HostList
 * \brief The platform's list of live and leaving hosts.
 */
class HostList
{
public:
    /// The list, or nothing if there was no valid answer in time.
    using ListHandler = std::function<void(const std::optional<std::vector<HostListEntry>> &)>;

    HostList() = default;
    HostList(const HostList &) = delete;
    HostList &operator=(const HostList &) = delete;
    virtual ~HostList() = default;

    /// Calls \p handler exactly once, not from within the call.
    virtual void list(Duration timeout, ListHandler handler) = 0;
};

}
