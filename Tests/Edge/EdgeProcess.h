#pragma once

#include "Base/Time.h"
#include "Forwarding/ScriptedUpstream.h"
#include "Soak/HostProcess.h"
#include "Soak/SoakStore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Mangofall::Testing {

/**
 * \class EdgeProcess
 * \brief One real host process with a store, and an upstream for the route /order/ (unsafe) that the test scripts.
 */
class EdgeProcess
{
public:
    static constexpr std::uint16_t callerPort = 8227;
    static constexpr std::uint16_t readyPort = 8220;
    static constexpr std::uint16_t peerPort = 7340;
    static constexpr std::uint16_t feedPort = 7355;
    static constexpr std::uint16_t metricsPort = 9464;

    explicit EdgeProcess(std::chrono::seconds stopTime);
    ~EdgeProcess();

    boost::asio::io_context io{1};

    /// The address of the host, which no other process uses.
    const std::string &address() const;
    boost::asio::ip::tcp::endpoint endpoint(std::uint16_t port) const;

    /// Lists an upstream that answers as \p answer says.
    ScriptedUpstream &addUpstream(const std::string &answer);

    /// Lists the host and two others as they were before all of them lost power. The others do not return.
    void listFormerHosts();

    void start();
    void signal(int number);
    bool running() const;
    /// Whether the host tells that it is ready within a time that is ample on a busy machine; false at once if its process ends.
    bool becomesReady();
    /// The wait status of the process, once it has ended.
    std::optional<int> waitForEnd();
    bool hasLogged(const std::string &text) const;

    /// Sends a request and, when its connection has ended, stores what came back.
    void call(const std::string &request, std::optional<std::string> &answer);
    bool runUntil(const std::function<bool()> &done);

private:
    void writeSettings(std::chrono::seconds stopTime) const;
    boost::asio::awaitable<void> exchange(std::string request, std::optional<std::string> &answer);

    std::string m_address;
    std::string m_folder;
    Soak::SoakStore m_store;
    Soak::HostProcess m_process;
    std::unique_ptr<ScriptedUpstream> m_upstream;
    std::optional<int> m_status;
};

/// A request for the order route.
std::string orderRequest(const std::string &id, const std::string &fields = std::string());

}
