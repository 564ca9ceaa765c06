#pragma once

#include "StandIns/EngineModel.h"
#include "StandIns/UpstreamServer.h"

#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <string>

namespace Mangofall::StandIns {

/**
 * \class EngineServer
 * \brief HTTP interface of one EngineModel.
 */
class EngineServer final : public UpstreamServer
{
public:
    EngineServer(boost::asio::io_context &context, std::uint16_t port, const EngineOptions &options);

    void advance();

protected:
    boost::asio::awaitable<void> handle(Connection &connection, HttpRequest &request) override;
    bool serving() const override;

private:
    using Json = nlohmann::json;

    TimePoint now() const;
    void crash();
    boost::asio::awaitable<void> route(Connection &connection, HttpRequest &request, const std::string &target);
    boost::asio::awaitable<void> handleCompletion(Connection &connection, HttpRequest &request);
    boost::asio::awaitable<void> handleControl(Connection &connection, HttpRequest &request);
    boost::asio::awaitable<void> handleKv(Connection &connection, HttpRequest &request);
    boost::asio::awaitable<void> handleExport(Connection &connection, HttpRequest &request, Json body);
    boost::asio::awaitable<void> handleCommand(Connection &connection, HttpRequest &request);
    boost::asio::awaitable<void> refuse(Connection &connection, HttpRequest &request, Admission admission, const std::string &attempt);
    boost::asio::awaitable<void> sendStream(Connection &connection, const HttpRequest &request, AttemptPointer attempt);
    boost::asio::awaitable<void> sendTokens(Connection &connection, AttemptPointer attempt, std::uint64_t generation);
    boost::asio::awaitable<void> sendWholeAnswer(Connection &connection, const HttpRequest &request, AttemptPointer attempt);
    /// Waits until the attempt has unsent tokens, has ended or was taken over by another connection.
    boost::asio::awaitable<void> waitForProgress(AttemptPointer attempt, std::uint64_t generation);
    bool parseCompletion(const HttpRequest &request, EngineRequest &completion, std::string &error) const;
    void injectFaults(const Json &faults);
    Json report() const;
    Json load() const;
    Json cacheEvents(std::uint64_t after);

    EngineOptions m_options;
    TimePoint m_origin; ///< Real time at which engine time is 0.
    EngineModel m_model;
    std::chrono::milliseconds m_responseDelay{0}; ///< Real time that every request except control requests is delayed by.
    std::uint64_t m_unnamedAttempts = 0;
};

}
