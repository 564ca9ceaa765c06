#include "Threads.h"

namespace Review {

void Threads::run(std::function<void()> function)
{
    const auto ended = std::make_shared<std::atomic<bool>>(false);
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_entries, [](Entry &entry) {
        if (*entry.ended) {
            entry.thread.join();
            return true;
        }
        return false;
    });
    m_entries.push_back({std::thread([function = std::move(function), ended]() {
                             function();
                             *ended = true;
                         }),
                         ended});
}

void Threads::joinAll()
{
    while (true) {
        std::thread thread;
        {
            const std::lock_guard lock(m_mutex);
            if (m_entries.empty()) {
                return;
            }
            thread = std::move(m_entries.front().thread);
            m_entries.pop_front();
        }
        thread.join();
    }
}

}
