#include "Daemon/EngineKvRuntime.h"

#include "Daemon/EngineKvBlocks.h"
#include "Daemon/WireAttempt.h"
#include "Http/UpstreamCall.h"
#include "Http/UpstreamConnectionPool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Mangofall {

namespace {

namespace Asio = boost::asio;
namespace BeastHttp = boost::beast::http;

constexpr std::string_view kvPath = "/kv/";
constexpr std::string_view exportPath = "/kv/export";
constexpr std::string_view exportAttemptPrefix = "export-";
constexpr std::chrono::seconds listInterval{2};
constexpr std::chrono::seconds callTimeout{2};
constexpr std::size_t maxListBytes = 4UL * 1024 * 1024;
constexpr unsigned statusOk = 200;

std::optional<KvBlock> blockOfDispatch(const Wire::DispatchT &dispatch)
{
    if (!dispatch.target.starts_with(kvPath)) {
        return std::nullopt;
    }
    return parseCalledKvBlock(std::string(dispatch.body.begin(), dispatch.body.end()));
}

}

EngineKvRuntime::EngineKvRuntime(Asio::io_context &context, const UpstreamSpec &spec)
    : m_context(context)
    , m_address(spec.address)
    , m_port(spec.port)
    , m_manager(spec.memoryTokens, ReservationLimits())
{
}

void EngineKvRuntime::stop()
{
    m_stopped = true;
}

void EngineKvRuntime::handle(const DispatcherInput &event, TimePoint now)
{
    if (std::holds_alternative<DispatcherEvent::TakeoverBegan>(event)) {
        m_manager.activate(now);
    } else if (std::holds_alternative<DispatcherEvent::OwnershipReleased>(event)) {
        m_manager.deactivate();
    } else if (std::holds_alternative<DispatcherEvent::Tick>(event) && m_manager.isActive()) {
        freeBlocks(m_manager.tick(now));
        if (now >= m_nextListTime) {
            m_nextListTime = now + listInterval;
            Asio::co_spawn(
                m_context,
                [self = shared_from_this()]() {
                    return self->listBlocks();
                },
                Asio::detached);
        }
    }
}

void EngineKvRuntime::handleReservation(const Wire::ReservationCallT &call, ReplyTarget &reply, TimePoint now)
{
    const AttemptId owner = fromWire(*call.owner);
    if (call.operation == Wire::ReservationOperation::Release) {
        freeBlocks(m_manager.release({owner}, now));
        return;
    }
    Wire::ReservationAnswerT answer;
    answer.call = call.call;
    answer.upstream = call.upstream;
    answer.granted = m_manager.reserve({owner, call.tokens, call.operation == Wire::ReservationOperation::Renew}, now);
    reply.reply(toMessage(std::move(answer)));
}

void EngineKvRuntime::updateEngineEpoch(std::uint64_t epoch)
{
    m_manager.updateEngineEpoch(epoch);
}

void EngineKvRuntime::recordStepAnswer(const Wire::DispatchT &dispatch, unsigned status, TimePoint now)
{
    const std::optional<KvBlock> block = status == statusOk ? blockOfDispatch(dispatch) : std::nullopt;
    if (block) {
        freeBlocks(m_manager.addBlock({*block}, now));
    }
}

std::string EngineKvRuntime::engineAttemptName(const Wire::DispatchT &dispatch)
{
    const std::optional<KvBlock> block = dispatch.target == exportPath ? blockOfDispatch(dispatch) : std::nullopt;
    return block ? std::string(exportAttemptPrefix) + block->id.value() : toString(fromWire(*dispatch.attempt));
}

void EngineKvRuntime::freeBlocks(const std::vector<KvBlock> &blocks)
{
    for (const KvBlock &block : blocks) {
        // A failed call needs no retry: the block stays in the engine's list and is collected as an orphan.
        Asio::co_spawn(
            m_context,
            [self = shared_from_this(), target = std::string(kvPath) + block.id.value()]() -> Asio::awaitable<void> {
                co_await self->call(BeastHttp::verb::delete_, target);
            },
            Asio::detached);
    }
}

Asio::awaitable<void> EngineKvRuntime::listBlocks()
{
    const auto self = shared_from_this();
    const std::optional<std::string> body = co_await call(BeastHttp::verb::get, "/kv");
    const std::optional<std::vector<KvBlock>> blocks = body ? parseKvBlocks(*body) : std::nullopt;
    if (blocks && !m_stopped) {
        freeBlocks(m_manager.handleBlockList(*blocks, std::chrono::steady_clock::now()));
    }
}

Asio::awaitable<std::optional<std::string>> EngineKvRuntime::call(BeastHttp::verb verb, std::string target)
{
    constexpr unsigned httpVersion = 11;
    // Each call uses a new connection, as load reports do: the network path of an established one may be broken unnoticed.
    UpstreamCall call(std::make_shared<UpstreamConnectionPool>(m_context, m_address, m_port), std::chrono::steady_clock::now() + callTimeout);
    UpstreamCall::Request request(verb, target, httpVersion);
    request.keep_alive(false);
    std::string body;
    if (co_await call.start(std::move(request)) || call.status() != statusOk || co_await call.readAll(body, maxListBytes)) {
        co_return std::nullopt;
    }
    co_return body;
}

}
