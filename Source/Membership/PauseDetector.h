#pragma once

#include "Base/Time.h"

#include <optional>
#include <variant>
#include <vector>

namespace Mangofall::Membership {

/// Periodic tick of the control thread.
struct PauseTick {
};

/// The membership table reported ViewRenewed.
struct MembershipRenewed {
};

using PauseEvent = std::variant<PauseTick, MembershipRenewed>;

/// Stop dispatching and sending commands; other hosts may own this host's keys by now.
struct StopDispatch {
    Duration pause{}; ///< Time since the last event.
};

/// Make the membership table renew its view.
struct RenewView {
};

struct ResumeDispatch {
};

using PauseAction = std::variant<StopDispatch, RenewView, ResumeDispatch>;

/**
 * \class PauseDetector
 * \brief Detects from a late control tick that this host was paused, and stops dispatch until its view is renewed.
 */
class PauseDetector
{
public:
    using Actions = std::vector<PauseAction>;

    /// \p limit is the time without heartbeats after which other hosts may suspect this one.
    explicit PauseDetector(Duration limit);

    Actions handle(const PauseEvent &event, TimePoint now);

    /// Whether dispatch is allowed at \p now; also false if the next tick is already late.
    bool mayDispatch(TimePoint now) const;

private:
    Duration m_limit;
    std::optional<TimePoint> m_lastTick;
    bool m_renewing = false;
};

}
