#pragma once

#include <cstddef>

namespace Mangofall {

/**
 * \class RequestMemory
 * \brief Limits the memory that the bodies of requests take in this process, from the moment at which their size is known until they are answered.
 *
 * A request that does not fit is refused before its body is read. Small requests may use a reserve beyond the limit, so that large ones do not block them.
 */
class RequestMemory
{
public:
    class Share;

    /// The limit of a process whose limit is not known.
    static constexpr std::size_t defaultLimitBytes = 64UL * 1024 * 1024;
    /// The largest request that may use the reserve, which is a quarter of the limit.
    static constexpr std::size_t smallRequestBytes = 64UL * 1024;

    explicit RequestMemory(std::size_t limitBytes = defaultLimitBytes);
    RequestMemory(const RequestMemory &) = delete;
    RequestMemory &operator=(const RequestMemory &) = delete;

    std::size_t usedBytes() const;

private:
    bool hasRoom(std::size_t addedBytes, std::size_t requestBytes) const;

    std::size_t m_limitBytes;
    std::size_t m_usedBytes = 0;
};

/**
 * \class RequestMemory::Share
 * \brief What the body of one request holds; given back when the share is destroyed.
 */
class RequestMemory::Share
{
public:
    /// Without a \p memory there is no limit; it must outlive the share.
    explicit Share(RequestMemory *memory);
    ~Share();

    Share(const Share &) = delete;
    Share &operator=(const Share &) = delete;

    /// Makes room for a body of \p bytes altogether; false, without an effect, if there is none. A share never shrinks.
    bool grow(std::size_t bytes);

private:
    RequestMemory *m_memory;
    std::size_t m_bytes = 0;
};

}
