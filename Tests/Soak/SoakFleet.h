#pragma once

#include "Base/RandomEngine.h"
#include "Base/Time.h"
#include "Soak/RunLedger.h"
#include "Soak/SoakHost.h"
#include "Soak/SoakStore.h"
#include "Soak/SoakUpstream.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

namespace Mangofall::Soak {

struct SoakOptions;

/**
 * \class SoakFleet
 * \brief The hosts, the upstreams and the store of one soak run.
 */
class SoakFleet
{
public:
    SoakFleet(boost::asio::io_context &io, const SoakOptions &options, RunLedger &ledger);

    /// Writes the configuration and starts the hosts; from then on restarts ended processes and checks the readiness of each host.
    void start();
    /// Records the current time as the last one at which a fault of any host, of an upstream or of the store began or ended. The start of the fleet counts as
    /// such a time, planned maintenance does not.
    void recordFaultChange();

    std::vector<std::unique_ptr<SoakHost>> &hosts();
    std::vector<std::unique_ptr<SoakUpstream>> &upstreams();
    SoakStore &store();
    /// Saves a copy of the store. Other users of the store write to it, so that its revision is above that of the copy for some time after a restore.
    void saveStore();
    /// Restores the store from its copy. The operator and the upstreams write again, and the entries of upstreams that are gone are removed, as the platform
    /// does.
    void restoreStore();
    /// Writes the next version of the configuration.
    void writeConfiguration();
    /// Reports hosts that have not put the last configuration in force, or are not listed under a lease of their own.
    void checkAgreement(RunLedger &ledger) const;

    /// Draws the index of a host for a new connection, among the hosts in rotation if there are any.
    std::size_t pickHost(RandomEngine &random) const;
    /**
     * Whether no fault but planned maintenance can have affected a request that was sent to \p host at \p time: since stabilisationTime before it, no fault
     * has begun or ended anywhere in the fleet and the host has had none, and all upstreams are healthy now.
     */
    bool wasFaultFree(std::size_t host, TimePoint time) const;

private:
    boost::asio::awaitable<void> writeAfterRestore();
    boost::asio::awaitable<void> watchProcesses();
    boost::asio::awaitable<void> watchReadiness(SoakHost &host);
    std::string configuration() const;
    std::string replacePeerAddress(const std::string &key, std::string value) const;

    boost::asio::io_context &m_io;
    SoakStore m_store;
    std::vector<std::unique_ptr<SoakHost>> m_hosts;
    std::vector<std::unique_ptr<SoakUpstream>> m_upstreams;
    std::uint64_t m_configurationVersion = 0;
    TimePoint m_lastFaultChange; ///< Covers a fault in progress as well, because faults are shorter than stabilisationTime.
};

}
