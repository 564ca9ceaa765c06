#pragma once

#include "Daemon/AttemptListener.h"
#include "Orders/OrderEvents.h"
#include "Peer/PeerMessages_generated.h"

#include <functional>
#include <memory>

namespace Mangofall {

class TrafficWorker;

/**
 * \class OrderAttempt
 * \brief The only attempt to send one order through the dispatcher of its upstream. Belongs to a traffic thread and keeps itself alive until it ends.
 */
class OrderAttempt : public AttemptListener, public std::enable_shared_from_this<OrderAttempt>
{
public:
    using Handler = std::function<void(const Orders::UpstreamAnswered &)>;

    /// Sends \p dispatch for the order \p key. \p handler is called once, on the thread of \p worker.
    static void send(TrafficWorker &worker, Wire::DispatchT &&dispatch, const OrderKey &key, Handler handler);

    OrderAttempt(TrafficWorker &worker, const OrderKey &key, const AttemptId &attempt, Handler handler);

    void handleAnswer(const Wire::PeerMessageT &message) override;
    void handleLinkBroken(const HostId &host) override;

private:
    void finish(Orders::UpstreamResult result);

    TrafficWorker &m_worker;
    Orders::UpstreamAnswered m_answer;
    Handler m_handler;
    std::shared_ptr<OrderAttempt> m_keepAlive; ///< Reference to this attempt; reset when it ends.
};

}
