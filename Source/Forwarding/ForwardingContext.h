#pragma once

#include <boost/asio/io_context.hpp>

namespace Mangofall {
class EventLog;
class ForwardingMetrics;
}

namespace Mangofall::Forwarding {

class EngineMemoryClient;
class MessageTranslator;
class PlacementGateway;
class RetryBudgets;
class UpstreamAvailability;

/**
 * \class ForwardingContext
 * \brief What the sessions of one host share; all of it outlives them.
 */
struct ForwardingContext {
    boost::asio::io_context &io;
    const MessageTranslator &translator;
    PlacementGateway &placement;
    EngineMemoryClient &engineMemory;
    const UpstreamAvailability &upstreams;
    RetryBudgets &budgets;
    EventLog &log;
    ForwardingMetrics &metrics;
};

}
