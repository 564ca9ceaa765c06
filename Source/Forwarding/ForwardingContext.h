#pragma once

#include "Base/Time.h"
#include "Forwarding/AnswerSizes.h"

#include <boost/asio/io_context.hpp>

#include <optional>

namespace Mangofall {
class EventLog;
class ForwardingMetrics;
}

namespace Mangofall::Forwarding {

class AnswerMemory;
class EngineMemoryClient;
class MessageTranslator;
class PlacementGateway;
class RetryBudgets;
class UpstreamAvailability;

/**
 * \class ForwardingContext
 * \brief Dependencies that all forwarding sessions of a host share; they must outlive the sessions.
 */
struct ForwardingContext {
    boost::asio::io_context &io;
    const MessageTranslator &translator;
    PlacementGateway &placement;
    EngineMemoryClient &engineMemory;
    UpstreamAvailability &upstreams;
    RetryBudgets &budgets;
    AnswerMemory &answerMemory;
    EventLog &log;
    ForwardingMetrics &metrics;
    AnswerSizes answerSizes{};
    std::optional<TimePoint> hostEndsAt{}; ///< When a host that is shutting down ends the requests that are still in progress.
};

}
