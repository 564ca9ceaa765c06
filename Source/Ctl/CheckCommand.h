#pragma once

#include "Check/CheckReport.h"
#include "Check/ConfigurationSource.h"
#include "Ctl/CtlOptions.h"

#include <istream>
#include <optional>
#include <ostream>
#include <string>

namespace Mangofall {

/**
 * \class CheckCommand
 * \brief The subcommand `check`: reports what is wrong with a configuration, and what it changes. It writes nothing to a fleet.
 *
 * Input is read up to a limit, so that endless input ends with an error.
 */
class CheckCommand
{
public:
    /// Larger input is refused. The store accepts a sixteenth of this.
    static constexpr std::size_t maxInputBytes = 16UL * 1024 * 1024;

    /// All references must outlive the object.
    CheckCommand(const CtlOptions &options, const Check::ConfigurationSource &configurations, std::ostream &output, std::ostream &errors);

    CtlStatus run();

private:
    /// Text of the file \p name, or of the standard input if it is `-`. Otherwise writes an error message and returns nothing.
    std::optional<std::string> readInput(const std::string &name);
    std::optional<std::string> readInForce();
    /// Adds the warnings on meaning, except those on entries that have errors.
    void addMeaning(const Forwarding::ForwardingConfiguration &configuration, Check::Findings &findings) const;
    CtlStatus print(const Check::CheckReport &report);
    CtlStatus reportUsageError(const std::string &message);

    const CtlOptions &m_options;
    const Check::ConfigurationSource &m_configurations;
    std::ostream &m_output;
    std::ostream &m_errors;
};

/// Reads \p stream to its end; nothing if it holds more than \p limitBytes or fails.
std::optional<std::string> readLimited(std::istream &stream, std::size_t limitBytes);

}
