#pragma once

#include <atomic>
#include <functional>
#include <list>
#include <memory>
#include <mutex>
#include <thread>

namespace Review {

/**
 * \class Threads
 * \brief Runs functions in threads of their own; ended threads are joined when the next one begins, all others by joinAll().
 */
class Threads
{
public:
    void run(std::function<void()> function);
    /// Also joins threads that begin meanwhile.
    void joinAll();

private:
    struct Entry {
        std::thread thread;
        std::shared_ptr<std::atomic<bool>> ended;
    };

    std::mutex m_mutex;
    std::list<Entry> m_entries;
};

}
