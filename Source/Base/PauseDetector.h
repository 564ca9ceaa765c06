#pragma once

#include "Base/Time.h"

#include <functional>
#include <optional>

namespace Mangofall {

/// Time since the machine was started, including the time for which it was suspended. The steady clock may stop during a suspension.
Duration bootTime();

/**
 * \class PauseDetector
 * \brief Detects that the process was stopped, or did not get the processor, for longer than its peers wait for it.
 *
 * The caller announces when it will check next. It does so at regular intervals while a pause would matter.
 */
class PauseDetector
{
public:
    using BootClock = std::function<Duration()>;

    /// A check that comes later than announced by up to \p tolerance shows no pause.
    explicit PauseDetector(Duration tolerance, BootClock clock = bootTime);

    /// The next check comes within \p interval.
    void expectCheckWithin(Duration interval);
    /// The next check may come at any time.
    void expectNoCheck();
    /// The time by which this check comes too late; zero if it shows no pause. Each pause is returned once.
    Duration check();

private:
    Duration m_tolerance;
    BootClock m_clock;
    std::optional<Duration> m_due; ///< The boot time by which a check was announced.
};

}
