#pragma once

#include "Check/ConfigurationSource.h"
#include "Config/ConfigurationChange.h"
#include "Ctl/CtlOptions.h"
#include "Ctl/OperatorClient.h"

#include <ostream>
#include <string>
#include <vector>

namespace Mangofall {

/**
 * \class CtlCommands
 * \brief Runs the subcommands of mangofallctl.
 */
class CtlCommands
{
public:
    /// Results are written to \p output and error messages to \p errors; both streams must outlive the object.
    CtlCommands(CtlOptions options, OperatorClient client, std::ostream &output, std::ostream &errors);

    /// Runs the subcommand that the options name.
    CtlStatus run();

private:
    CtlStatus status();
    /// Prints the preset \p name, or the list of all presets if \p name is empty.
    CtlStatus presets(const std::string &name);
    CtlStatus putPreset(const std::string &file);
    CtlStatus drainOrRestore(bool drain, const std::string &kind, const std::string &id);
    CtlStatus applyFleetFile(const std::string &file);
    /// Prints the orders that \p target returns, or only the one with \p key if it is not empty.
    CtlStatus orders(const std::string &target, const std::string &key);
    CtlStatus limits();
    CtlStatus history();
    CtlStatus sendChange(decltype(ConfigurationChange::action) action);
    /// Prints the outcome of the change \p id from the answer \p body, and waits for accepted changes if the options ask for it.
    CtlStatus reportChange(const std::string &body, const ChangeId &id);
    /// Waits until every live host has \p revision; fails when the time from the options is over.
    CtlStatus waitForRevision(Revision revision);

    /// Returns the body of a response with status 200; otherwise writes an error message and returns nothing.
    std::optional<std::string> fetch(const std::string &target);
    std::optional<std::string> readFile(const std::string &file);
    CtlStatus reportUsageError(const std::string &message);
    CtlStatus fail(const std::string &message);

    CtlOptions m_options;
    OperatorClient m_client;
    std::ostream &m_output;
    std::ostream &m_errors;
};

/// Runs mangofallctl with \p arguments, the first of which is the program's name. \p configurations is used by the check of a configuration.
CtlStatus runCtl(const std::vector<std::string> &arguments, const Check::ConfigurationSource &configurations, std::ostream &output, std::ostream &errors);

}
