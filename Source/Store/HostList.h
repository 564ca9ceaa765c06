#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Mangofall {

/// State of a host in the platform's list.
enum class HostListState {
    Live,
    Leaving,
};

/**
 * \class HostListEntry
 * \brief One entry of the platform's host list. The list is updated with a delay, so an entry may be out of date.
 */
struct HostListEntry {
    HostId id;
    std::string address; ///< Address as the platform lists it: an IP address, with a port if several hosts share the address.
    DataCentreId dataCentre;
    HostListState state = HostListState::Live;

    friend bool operator==(const HostListEntry &, const HostListEntry &) = default;
};

/**
 * \class HostList
 * \brief Interface to the platform's list of live and leaving hosts.
 */
class HostList
{
public:
    /// Receives the list, or nothing if no valid answer arrived in time.
    using ListHandler = std::function<void(const std::optional<std::vector<HostListEntry>> &)>;

    HostList() = default;
    HostList(const HostList &) = delete;
    HostList &operator=(const HostList &) = delete;
    virtual ~HostList() = default;

    /// Requests the list. Calls \p handler exactly once, and never from within list().
    virtual void list(Duration timeout, ListHandler handler) = 0;
};

}
