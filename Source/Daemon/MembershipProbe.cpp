#include "Daemon/MembershipProbe.h"

#include "Daemon/WireAttempt.h"
#include "Daemon/WireMembership.h"

namespace Mangofall {

MembershipProbe::MembershipProbe(ControlLinks &links, const PeerAddress &address, std::uint64_t probe, Handler handler)
    : m_probe(probe)
    , m_handler(std::move(handler))
    , m_link(links.open(address, *this))
{
    Wire::MembershipProbeT message;
    message.probe = probe;
    m_link->send(toMessage(message));
}

MembershipProbe::~MembershipProbe()
{
    m_link->closeSilently();
}

void MembershipProbe::handleMessage(const std::shared_ptr<PeerConnection> &, Wire::PeerMessageT &&message)
{
    const Wire::MembershipProbeAnswerT *answer = message.body.AsMembershipProbeAnswer();
    if (answer != nullptr && answer->probe == m_probe && answer->heartbeat) {
        finish(fromWire(*answer->heartbeat));
    }
}

void MembershipProbe::handleClosed(const std::shared_ptr<PeerConnection> &)
{
    finish(std::nullopt);
}

void MembershipProbe::finish(const std::optional<Membership::Heartbeat> &answer)
{
    if (m_handler) {
        const Handler handler = std::move(m_handler);
        m_handler = nullptr;
        handler(answer);
    }
}

}
