#pragma once

#include "Socket.h"

#include <fstream>
#include <mutex>
#include <string>

namespace Review {

/**
 * \class Record
 * \brief The file record.txt of a case: one line for each request that is sent, answered or run, with the seconds since the start.
 */
class Record
{
public:
    explicit Record(const std::string &file);

    void write(const std::string &line);

private:
    std::mutex m_mutex;
    std::ofstream m_stream;
    Clock::time_point m_start = Clock::now();
};

}
