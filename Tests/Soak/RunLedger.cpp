#include "Soak/RunLedger.h"

#include "Soak/SoakNames.h"

#include <algorithm>

namespace Mangofall::Soak {

namespace {

// Until so many crashes, and stabilisationTime after the last of them, harmful attempts may reach upstreams.
constexpr std::size_t toleratedCrashes = 5;
// Hosts may test so many times whether a held part still crashes upstreams.
constexpr std::size_t maxLateHarmfulRuns = 3;

}

void RunLedger::recordSent(const std::string &attempt, const Attempt &details)
{
    m_attempts[attempt] = details;
}

const RunLedger::Attempt *RunLedger::find(const std::string &attempt) const
{
    const auto found = m_attempts.find(attempt);
    return found == m_attempts.end() ? nullptr : &found->second;
}

void RunLedger::recordRun(const std::string &attempt)
{
    const auto found = m_attempts.find(attempt);
    if (found == m_attempts.end()) {
        reportViolation("an upstream ran " + attempt + ", which no caller sent");
        return;
    }
    ++found->second.runs;
    if (found->second.kind == SoakRequestKind::Once && found->second.runs > 1) {
        reportViolation(attempt + " ran more than once although it may run at most once");
    }
}

void RunLedger::recordHarmfulRun(const std::string &attempt, TimePoint now)
{
    const Attempt *details = find(attempt);
    if (details != nullptr && m_harmfulCrashes.size() >= toleratedCrashes) {
        const bool late = now > m_harmfulCrashes[toleratedCrashes - 1] + stabilisationTime;
        const bool hostHadNoFault = details->hostFaultFreeSince <= details->sentAt - stabilisationTime;
        if (late && hostHadNoFault) {
            m_lateHarmfulRuns.push_back(attempt);
        }
    }
    m_harmfulCrashes.push_back(now);
}

void RunLedger::recordOutcome(const std::string &attempt, CallerOutcome outcome)
{
    m_attempts.at(attempt).outcome = outcome;
    if (outcome == CallerOutcome::TimedOut) {
        reportViolation(attempt + " had no complete answer long after its deadline");
    }
}

void RunLedger::reportViolation(const std::string &violation)
{
    m_violations.push_back(violation);
}

void RunLedger::checkHarmfulRuns()
{
    if (m_lateHarmfulRuns.size() > maxLateHarmfulRuns) {
        reportViolation(std::to_string(m_lateHarmfulRuns.size())
                        + " requests with a part that crashes upstreams ran long after the fifth crash, the last of them " + m_lateHarmfulRuns.back());
    }
}

void RunLedger::checkRefusals()
{
    for (const auto &[attempt, details] : m_attempts) {
        if (details.outcome == CallerOutcome::Refused && details.kind == SoakRequestKind::Once && details.runs > 0) {
            reportViolation(attempt + " was refused with a status that states that it did not run, but an upstream ran it");
        }
    }
}

const std::vector<std::string> &RunLedger::violations() const
{
    return m_violations;
}

std::uint64_t RunLedger::count(CallerOutcome outcome) const
{
    return static_cast<std::uint64_t>(std::count_if(m_attempts.begin(), m_attempts.end(), [outcome](const auto &attempt) {
        return attempt.second.outcome == outcome;
    }));
}

std::size_t RunLedger::harmfulCrashes() const
{
    return m_harmfulCrashes.size();
}

double RunLedger::answeredShare(TimePoint from) const
{
    double ended = 0;
    double answered = 0;
    for (const auto &[attempt, details] : m_attempts) {
        if (details.sentAt >= from && details.outcome && !details.harmful) {
            ++ended;
            answered += details.outcome == CallerOutcome::Answered ? 1 : 0;
        }
    }
    return ended > 0 ? answered / ended : 1;
}

}
