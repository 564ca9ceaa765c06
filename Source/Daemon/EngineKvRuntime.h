#pragma once

#include "Admission/DispatcherEvents.h"
#include "Config/UpstreamSpec.h"
#include "Daemon/EngineKvManager.h"
#include "Daemon/ReplyTarget.h"
#include "Peer/PeerMessages_generated.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/http/verb.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Mangofall {

/**
 * \class EngineKvRuntime
 * \brief Runs the EngineKvManager of one engine: answers reservation calls, lists the engine's blocks and frees those due.
 */
class EngineKvRuntime : public std::enable_shared_from_this<EngineKvRuntime>
{
public:
    EngineKvRuntime(boost::asio::io_context &context, const UpstreamSpec &spec);

    /// Called when the dispatcher ends; afterwards no call is answered or made.
    void stop();

    /// Handles the dispatcher's takeover, its release of ownership and its ticks; other events are ignored.
    void handle(const DispatcherInput &event, TimePoint now);
    void handleReservation(const Wire::ReservationCallT &call, ReplyTarget &reply, TimePoint now);
    void updateEngineEpoch(std::uint64_t epoch);

    /// Records the engine's answer to \p dispatch; after a successful export or import the engine holds its block.
    void recordStepAnswer(const Wire::DispatchT &dispatch, unsigned status, TimePoint now);

    /// Name under which the engine runs \p dispatch; the call that cancels it needs this name.
    static std::string engineAttemptName(const Wire::DispatchT &dispatch);

private:
    void freeBlocks(const std::vector<KvBlock> &blocks);
    boost::asio::awaitable<void> listBlocks();
    /// Sends a request to the engine and returns the body of the answer; empty if the call failed.
    boost::asio::awaitable<std::optional<std::string>> call(boost::beast::http::verb verb, std::string target);

    boost::asio::io_context &m_context;
    std::string m_address;
    std::uint16_t m_port;
    EngineKvManager m_manager;
    TimePoint m_nextListTime;
    bool m_stopped = false;
};

}
