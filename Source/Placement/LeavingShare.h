#pragma once

#include "Base/Ids.h"
#include "Base/Time.h"

namespace Mangofall::Placement {

/**
 * \class LeavingPrice
 * \brief The gain and the cost of sending a mean request to the best other data centre, in units of the request's target.
 */
struct LeavingPrice {
    double gain = 0; ///< Time saved.
    double cost = 0; ///< Bytes that cross, and the delay in both directions.
};

/**
 * \class LeavingShare
 * \brief Decides which share of the requests that arrive in one data centre shall leave it.
 *
 * Leaving begins when the gain exceeds the cost by a band and ends when the cost exceeds the gain by it, so that waits that vary by chance do not start and
 * stop it. While it lasts, the share approaches the part of the demand that exceeds the data centre, at a limited rate: a change shows in the waits only
 * after the time of an answer.
 */
class LeavingShare
{
public:
    explicit LeavingShare(double maxShare);

    /// Moves the share. \p excess is the share of the demand that is better served elsewhere, if leaving pays off.
    void update(const LeavingPrice &price, double excess, TimePoint now);
    /// The data centre has no upstream that accepts requests: all of them leave.
    void setNoUpstream(TimePoint now);

    /// Between 0 and 1.
    double value() const;

private:
    double m_maxShare;
    double m_share = 0;
    bool m_leaving = false;
    TimePoint m_updatedAt;
};

}
