#pragma once

#include "Wire.h"

#include <fstream>
#include <mutex>
#include <string>

namespace Review {

/// Exit codes of a case.
enum CaseResult {
    Held = 0,
    Broken = 1,
    CouldNotRun = 2,
};

/**
 * \class Record
 * \brief Writes what was sent, answered and run, with the time since the start of the case, to a file.
 */
class Record
{
public:
    explicit Record(const std::string &file);

    void write(const std::string &line);
    /// Seconds since the start of the case.
    double seconds(TimePoint time = Clock::now()) const;

private:
    std::ofstream m_file;
    std::mutex m_mutex;
    TimePoint m_start = Clock::now();
};

/// Whether the case runs with its disruption; TROUBLE=0 leaves it out.
bool withTrouble();

/**
 * \class Folder
 * \brief A temporary folder, removed with its files at the end.
 */
class Folder
{
public:
    Folder();
    ~Folder();

    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;

    const std::string &path() const;

private:
    std::string m_path;
};

}
