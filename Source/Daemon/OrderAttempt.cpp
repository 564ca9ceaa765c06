#include "Daemon/OrderAttempt.h"

#include "Daemon/TrafficWorker.h"
#include "Daemon/WireAttempt.h"

namespace Mangofall {

void OrderAttempt::send(TrafficWorker &worker, Wire::DispatchT &&dispatch, const OrderKey &key, Handler handler)
{
    const auto attempt = std::make_shared<OrderAttempt>(worker, key, fromWire(*dispatch.attempt), std::move(handler));
    attempt->m_keepAlive = attempt;
    worker.dispatch(std::move(dispatch), *attempt);
}

OrderAttempt::OrderAttempt(TrafficWorker &worker, const OrderKey &key, const AttemptId &attempt, Handler handler)
    : m_worker(worker)
    , m_handler(std::move(handler))
{
    m_answer.key = key;
    m_answer.attempt = attempt;
}

void OrderAttempt::handleAnswer(const Wire::PeerMessageT &message)
{
    if (const Wire::StreamStartT *start = message.body.AsStreamStart()) {
        m_answer.outcome.httpStatus = start->status;
        m_answer.outcome.contentType = start->content_type;
    } else if (const Wire::StreamDataT *data = message.body.AsStreamData()) {
        m_answer.outcome.body.append(data->data.begin(), data->data.end());
    } else if (const Wire::StreamEndT *end = message.body.AsStreamEnd()) {
        switch (end->outcome) {
        case Wire::StreamOutcome::Completed:
            finish(Orders::UpstreamResult::Answered);
            break;
        case Wire::StreamOutcome::Refused:
            finish(Orders::UpstreamResult::Refused);
            break;
        case Wire::StreamOutcome::ResumeRejected:
        case Wire::StreamOutcome::Broken:
            finish(Orders::UpstreamResult::Broken);
            break;
        }
    }
}

void OrderAttempt::handleLinkBroken(const HostId &)
{
    // The dispatcher may have received the order before the connection broke.
    finish(Orders::UpstreamResult::Broken);
}

void OrderAttempt::finish(Orders::UpstreamResult result)
{
    const std::shared_ptr<OrderAttempt> keepAlive = std::move(m_keepAlive);
    if (!keepAlive) {
        return;
    }
    m_worker.forget(m_answer.attempt);
    m_answer.result = result;
    if (result != Orders::UpstreamResult::Answered) {
        m_answer.outcome = {};
    }
    m_handler(m_answer);
}

}
