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
 * \brief The hosts, upstreams and the store of one soak.
 */
class SoakFleet
{
public:
    SoakFleet(boost::asio::io_context &io, const SoakOptions &options, RunLedger &ledger);

    /// Writes the configuration, starts the hosts, and watches over their processes and readiness from then on.
    void start();
    /// The store, an upstream or a host is harmed now, or was until now.
    void disturbed();

    std::vector<std::unique_ptr<SoakHost>> &hosts();
    std::vector<std::unique_ptr<SoakUpstream>> &upstreams();
    SoakStore &store();

    /// A host for a new connection; one that is in rotation if there is any.
    std::size_t pickHost(RandomEngine &random) const;
    /// Whether nothing but planned work has disturbed host and upstreams since \p time, with all bounds in force.
    bool onlyPlannedSince(std::size_t host, TimePoint time) const;

private:
    boost::asio::awaitable<void> watchProcesses();
    boost::asio::awaitable<void> watchReadiness(SoakHost &host);
    std::string configuration() const;
    std::string replacePeerAddress(const std::string &key, std::string value) const;

    boost::asio::io_context &m_io;
    SoakStore m_store;
    std::vector<std::unique_ptr<SoakHost>> m_hosts;
    std::vector<std::unique_ptr<SoakUpstream>> m_upstreams;
    TimePoint m_disturbedAt; ///< Last fault of the store or an upstream, or of any host.
};

}
