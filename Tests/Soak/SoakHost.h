#pragma once

#include "Base/Time.h"
#include "Config/NetworkAddress.h"
#include "Soak/FaultProxy.h"
#include "Soak/HostProcess.h"

#include <cstddef>
#include <optional>
#include <string>

namespace Mangofall::Soak {

class RunLedger;

/**
 * \class SoakHost
 * \brief One host of the soak: its process, its links to the store and from its peers, and when it was last disturbed.
 */
class SoakHost
{
public:
    struct Place {
        std::size_t index = 0;
        std::string program;
        std::string folder; ///< For settings and logs.
        std::uint16_t storePort = 0;
    };

    SoakHost(boost::asio::io_context &io, const Place &place, RunLedger &ledger);

    const std::string &id() const;
    NetworkAddress callers() const;
    NetworkAddress readiness() const;
    /// Where its peers reach it, through the proxy.
    NetworkAddress peers() const;

    void start();
    void kill();
    void pause();
    void resume();
    void terminate();
    void reload();
    /// Collects the process and starts it again when its time has come.
    void check(TimePoint now);

    void setStoreFault(LinkFault fault);
    void setPeerFault(LinkFault fault);

    /// A question for readiness was answered with 200 or not.
    void readinessSeen(bool ready);
    bool inRotation() const;

    /// Since when nothing but planned work has happened to it; TimePoint::max() while something does.
    TimePoint undisturbedSince() const;
    std::optional<TimePoint> terminatedAt() const;

private:
    void writeSettings(const Place &place);
    void disturbed();

    std::string m_id;
    std::string m_address;
    RunLedger &m_ledger;
    FaultProxy m_storeLink;
    FaultProxy m_peerLink;
    HostProcess m_process;
    bool m_paused = false;
    bool m_killed = false;
    std::optional<TimePoint> m_terminatedAt;
    std::optional<TimePoint> m_startAgainAt;
    TimePoint m_undisturbedSince;
    int m_misses = 0;
    bool m_inRotation = false;
};

}
