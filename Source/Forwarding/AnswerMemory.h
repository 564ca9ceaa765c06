#pragma once

#include <cstddef>
#include <functional>
#include <set>

namespace Mangofall::Forwarding {

/**
 * \class AnswerMemory
 * \brief Limits the memory that answers of upstreams take in this process until they are passed on, all attempts together.
 *
 * If the limit is exceeded, the attempt that holds most of those whose answer is incomplete gives its memory back. That ends the fewest requests, and an
 * upstream that sends without end is always among the first.
 */
class AnswerMemory
{
public:
    class Share;

    /// The limit of a process whose limit is not known.
    static constexpr std::size_t defaultLimitBytes = 64UL * 1024 * 1024;

    explicit AnswerMemory(std::size_t limitBytes = defaultLimitBytes);
    AnswerMemory(const AnswerMemory &) = delete;
    AnswerMemory &operator=(const AnswerMemory &) = delete;

    std::size_t usedBytes() const;

private:
    /// Takes memory from the largest incomplete answers until the limit is kept, or none is left.
    void enforceLimit();

    std::size_t m_limitBytes;
    std::size_t m_usedBytes = 0;
    std::set<Share *> m_shares;
};

/**
 * \class AnswerMemory::Share
 * \brief What the answer of one attempt holds; given back when the share is destroyed.
 */
class AnswerMemory::Share
{
public:
    /// \p revoked is called once if the answer must be given up; it must not destroy the share. \p memory must outlive the share.
    Share(AnswerMemory &memory, std::function<void()> revoked);
    ~Share();

    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;

    /// Sets what the answer holds; false if the answer must be given up.
    bool resize(std::size_t bytes);

    /// Keeps the memory for an answer that is complete and waits for its caller; it is not taken away any more.
    void complete();

    bool isRevoked() const;

private:
    friend class AnswerMemory;

    void revoke();

    AnswerMemory &m_memory;
    std::function<void()> m_revoked;
    std::size_t m_bytes = 0;
    bool m_complete = false;
    bool m_isRevoked = false;
};

}
