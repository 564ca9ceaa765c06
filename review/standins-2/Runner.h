#pragma once

#include "PlatformStore.h"
#include "Record.h"
#include "Server.h"

#include <atomic>
#include <condition_variable>
#include <string>
#include <thread>

namespace Review {

struct RunnerPlace {
    std::string id;
    std::string service;
    std::string zone;
    std::string ip;
    int slots = 0;
};

/**
 * \class Runner
 * \brief Stand-in for a runner: lists itself in the store, checks Target-Instance, and passes requests on to answer().
 *
 * One that has taken over the address of another answers the requests for that one with 421.
 */
class Runner
{
public:
    /// \p receiveBuffer is the size of the receive buffers of its connections; 0 lets the system choose.
    Runner(RunnerPlace place, PlatformStore &store, Record &record, int receiveBuffer = 0);
    virtual ~Runner();

    Runner(const Runner &) = delete;
    Runner &operator=(const Runner &) = delete;

    /// Begins to accept connections and lists itself.
    void start();
    /// Removes the entry, as a runner that leaves without saying that it drains, and goes on serving until stop().
    void removeEntry();
    /// Must be called by the destructor of a subclass.
    void stop();

protected:
    /// The number of bytes a second that the runner reads of a body; 0 for no limit.
    virtual std::size_t readingRate() const;
    /// How much longer the runner is cold.
    virtual Milliseconds coldRemaining() const;
    /// Writes the entry in the store before the next heartbeat.
    void publish();
    /// A request for this runner has begun to arrive.
    virtual void received(const HttpHead &head);
    /// Runs and answers one request; false if the connection must be closed.
    virtual bool answer(HttpConnection &connection, const HttpHead &head) = 0;

    const std::string &id() const;
    Record &record();
    /// The head of an answer of this runner, up to the fields that tell the length.
    std::string answerHead(const HttpHead &request, int status, bool executed) const;

private:
    void serve(HttpConnection &connection);
    void sendHeartbeats();
    void endHeartbeats();

    RunnerPlace m_place;
    PlatformStore &m_store;
    Record &m_record;
    int m_receiveBuffer;
    std::atomic<int> m_running = 0;
    std::uint64_t m_born;
    std::mutex m_mutex;
    std::condition_variable m_stopped;
    bool m_stopping = false;
    bool m_publishNow = false;
    std::unique_ptr<Server> m_server;
    std::thread m_heartbeats;
};

/// A chunk of a body in chunks.
std::string chunk(const std::string &data);

}
