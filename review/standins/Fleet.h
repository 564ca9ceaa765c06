#pragma once

#include "Base/Time.h"
#include "EdgeProcess.h"
#include "Soak/SoakStore.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Mangofall::Review {

class Record;

/**
 * \class TemporaryFolder
 * \brief A new folder for settings and logs, which is removed with this object unless the environment variable KEEP_LOGS is set.
 */
class TemporaryFolder
{
public:
    TemporaryFolder();
    ~TemporaryFolder();
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    const std::string &path() const;

private:
    std::string m_path;
};

/**
 * \class Fleet
 * \brief The platform of a case: the store, and machines whose processes it starts, watches and starts again after they have ended.
 */
class Fleet
{
public:
    /// An end of a process.
    struct End {
        std::size_t host = 0;
        TimePoint time;
        bool memoryExceeded = false;
    };

    /// One machine for each of \p zones.
    Fleet(boost::asio::io_context &io, const std::vector<std::string> &zones, Record &record);

    Soak::SoakStore &store();
    EdgeProcess &host(std::size_t index);
    std::size_t size() const;

    /// Starts all processes and watches them until the case ends.
    void start();
    /// Waits until all hosts say that they are ready; false if they are not within \p limit.
    boost::asio::awaitable<bool> awaitReady(std::chrono::milliseconds limit);
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);

    const std::vector<End> &ends() const;
    /// Largest memory seen of any process, in bytes.
    std::uint64_t largestMemory() const;

private:
    boost::asio::awaitable<void> watch();
    boost::asio::awaitable<bool> isReady(NetworkAddress address);
    void check(std::size_t index);

    boost::asio::io_context &m_io;
    Record &m_record;
    TemporaryFolder m_folder;
    Soak::SoakStore m_store;
    std::vector<std::unique_ptr<EdgeProcess>> m_hosts;
    std::vector<std::optional<TimePoint>> m_restartAt;
    std::vector<bool> m_memoryExceeded; ///< Whether the process was killed because of its memory and has not been reaped yet.
    std::vector<End> m_ends;
    std::uint64_t m_largestMemory = 0;
};

/// Whether the disruption of the case is played; the environment variable TROUBLE=0 leaves it out.
bool troubleWanted();

/// Folder of the case, in which its record is written.
std::string caseFolder(int argc, char **argv);

}
