#pragma once

#include "Http/ResponseError.h"

namespace Mangofall {

/**
 * \class ResponseCompleteness
 * \brief Decides whether the response to one request is complete.
 *
 * Handles two failures. A server may answer before it has received the whole request and then reset the connection. The failed write consumes the error of
 * the socket, data that was received before remains readable, and reading then ends as on an orderly close. Such a response is complete only if its own
 * framing (a length, chunks, or a status without a body) says so. Secondly, a status line may hold a status that is not a final one.
 */
class ResponseCompleteness
{
public:
    /// Informational responses accepted before the final one. Servers send one or two; without a limit, a server could send them until the deadline.
    static constexpr unsigned maxInformational = 16;

    /// The request could not be written to its end.
    void requestWriteFailed();

    /// Takes the next header of the connection. Returns an error if the response is malformed. \p endsWithConnection: neither a length nor chunks nor the
    /// status tell where the body ends.
    boost::system::error_code headerReceived(unsigned status, bool endsWithConnection);

    /// Whether the last header is that of the final response, so that its body follows.
    bool hasFinalHeader() const;

    /// Takes the end of the final response's body. Returns an error if the response may be incomplete.
    boost::system::error_code bodyEnded();

    /// Whether the response is complete and the connection can carry another request, as far as this response tells.
    bool allowsReuse() const;

private:
    bool m_writeFailed = false;
    unsigned m_informational = 0;
    bool m_hasFinalHeader = false;
    bool m_endsWithConnection = true;
    bool m_complete = false;
};

}
