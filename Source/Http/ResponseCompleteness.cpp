#include "Http/ResponseCompleteness.h"

namespace Mangofall {

namespace {

constexpr unsigned firstStatus = 100;
constexpr unsigned switchingProtocols = 101;
constexpr unsigned firstFinalStatus = 200;
constexpr unsigned lastStatus = 599;

}

void ResponseCompleteness::requestWriteFailed()
{
    m_writeFailed = true;
}

boost::system::error_code ResponseCompleteness::headerReceived(unsigned status, bool endsWithConnection)
{
    if (status < firstStatus || status > lastStatus) {
        return ResponseError::InvalidStatus;
    }
    if (status == switchingProtocols) {
        return ResponseError::UnrequestedUpgrade;
    }
    if (status >= firstFinalStatus) {
        m_hasFinalHeader = true;
        m_endsWithConnection = endsWithConnection;
        return {};
    }
    ++m_informational;
    return m_informational > maxInformational ? ResponseError::TooManyInformational : boost::system::error_code();
}

bool ResponseCompleteness::hasFinalHeader() const
{
    return m_hasFinalHeader;
}

boost::system::error_code ResponseCompleteness::bodyEnded()
{
    const bool endUnknown = m_writeFailed && m_endsWithConnection;
    if (!m_hasFinalHeader || endUnknown) {
        return ResponseError::EndUnknown;
    }
    m_complete = true;
    return {};
}

bool ResponseCompleteness::allowsReuse() const
{
    return m_complete && !m_writeFailed && !m_endsWithConnection;
}

}
