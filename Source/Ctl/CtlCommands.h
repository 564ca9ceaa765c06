#pragma once

#include "Config/ConfigurationChange.h"
#include "Ctl/CtlOptions.h"
#include "Ctl/OperatorClient.h"

#include <ostream>
#include <string>
#include <vector>

namespace Mangofall {

/**
 * \class CtlCommands
 * \brief The subcommands of mangofallctl.
 */
class CtlCommands
{
public:
    /// Answers go to \p output and complaints to \p errors; both must outlive the object.
    CtlCommands(CtlOptions options, OperatorClient client, std::ostream &output, std::ostream &errors);

    CtlStatus run();

private:
    CtlStatus status();
    CtlStatus presets(const std::string &name);
    CtlStatus putPreset(const std::string &file);
    CtlStatus moveUnit(bool takeOut, const std::string &kind, const std::string &id);
    CtlStatus applyFile(const std::string &file);
    CtlStatus orders(const std::string &target, const std::string &key);
    CtlStatus limits();
    CtlStatus history();
    CtlStatus change(decltype(ConfigurationChange::action) action);
    CtlStatus report(const std::string &body, const ChangeId &id);
    CtlStatus waitForRevision(Revision revision);

    /// The body of a successful answer; complains otherwise.
    std::optional<std::string> fetch(const std::string &target);
    std::optional<std::string> readFile(const std::string &file);
    CtlStatus badUse(const std::string &message);
    CtlStatus fail(const std::string &message);

    CtlOptions m_options;
    OperatorClient m_client;
    std::ostream &m_output;
    std::ostream &m_errors;
};

/// Runs mangofallctl with \p arguments (the program's name first).
CtlStatus runCtl(const std::vector<std::string> &arguments, std::ostream &output, std::ostream &errors);

}
