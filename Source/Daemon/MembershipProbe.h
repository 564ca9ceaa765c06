#pragma once

#include "Daemon/ControlLinks.h"
#include "Membership/Heartbeat.h"
#include "Peer/PeerMessageHandler.h"

#include <functional>
#include <memory>
#include <optional>

namespace Mangofall {

/**
 * \class MembershipProbe
 * \brief Requests a heartbeat from a host over a separate connection.
 */
class MembershipProbe : public PeerMessageHandler
{
public:
    /// Called at most once: with the heartbeat, or without one if the connection closed before the answer. Never called after destruction.
    using Handler = std::function<void(const std::optional<Membership::Heartbeat> &)>;

    MembershipProbe(ControlLinks &links, const PeerAddress &address, std::uint64_t probe, Handler handler);
    ~MembershipProbe() override;
    MembershipProbe(const MembershipProbe &) = delete;
    MembershipProbe &operator=(const MembershipProbe &) = delete;

    void handleMessage(const std::shared_ptr<PeerConnection> &connection, Wire::PeerMessageT &&message) override;
    void handleClosed(const std::shared_ptr<PeerConnection> &connection) override;

private:
    void finish(const std::optional<Membership::Heartbeat> &answer);

    std::uint64_t m_probe;
    Handler m_handler;
    std::shared_ptr<PeerLink> m_link;
};

}
