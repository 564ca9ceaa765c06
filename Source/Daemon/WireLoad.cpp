#include "Daemon/WireLoad.h"

#include "Peer/PeerMessages_generated.h"

namespace Mangofall {

namespace {

using std::chrono::microseconds;

void copyLengthClasses(const std::vector<std::uint64_t> &from, PerClass<std::uint64_t> &to)
{
    for (std::size_t index = 0; index < std::min(from.size(), to.size()); ++index) {
        to[index] = from[index];
    }
}

}

std::unique_ptr<Wire::LoadT> toWire(const LoadSummary &summary)
{
    auto load = std::make_unique<Wire::LoadT>();
    load->upstream = summary.upstream.value();
    load->state = static_cast<std::uint8_t>(summary.state);
    load->request_cap = summary.caps.requests;
    load->prefill_cap = summary.caps.prefillTokens;
    load->in_flight_requests = summary.inFlightRequests;
    load->queued_requests = summary.queuedRequests;
    load->in_flight_prefill_tokens.assign(summary.inFlightPrefillTokens.begin(), summary.inFlightPrefillTokens.end());
    load->queued_prefill_tokens.assign(summary.queuedPrefillTokens.begin(), summary.queuedPrefillTokens.end());
    load->prefill_rate = summary.prefillRate;
    load->residence_us = std::chrono::duration_cast<microseconds>(summary.residence).count();
    return load;
}

LoadSummary fromWire(const Wire::LoadT &load)
{
    LoadSummary summary;
    summary.upstream = UpstreamId(load.upstream);
    if (load.state <= static_cast<std::uint8_t>(UpstreamState::Leaving)) {
        summary.state = static_cast<UpstreamState>(load.state);
    }
    summary.caps.requests = load.request_cap;
    summary.caps.prefillTokens = load.prefill_cap;
    summary.inFlightRequests = load.in_flight_requests;
    summary.queuedRequests = load.queued_requests;
    copyLengthClasses(load.in_flight_prefill_tokens, summary.inFlightPrefillTokens);
    copyLengthClasses(load.queued_prefill_tokens, summary.queuedPrefillTokens);
    summary.prefillRate = load.prefill_rate;
    summary.residence = microseconds(load.residence_us);
    return summary;
}

std::string encodeLoadReport(const std::vector<LoadSummary> &summaries)
{
    Wire::LoadReportT report;
    for (const LoadSummary &summary : summaries) {
        report.loads.push_back(toWire(summary));
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(Wire::LoadReport::Pack(builder, &report));
    return {reinterpret_cast<const char *>(builder.GetBufferPointer()), builder.GetSize()};
}

std::vector<LoadSummary> decodeLoadReport(std::string_view bytes)
{
    const auto *data = reinterpret_cast<const std::uint8_t *>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!verifier.VerifyBuffer<Wire::LoadReport>(nullptr)) {
        return {};
    }
    Wire::LoadReportT report;
    flatbuffers::GetRoot<Wire::LoadReport>(data)->UnPackTo(&report);
    std::vector<LoadSummary> summaries;
    for (const auto &load : report.loads) {
        if (load) {
            summaries.push_back(fromWire(*load));
        }
    }
    return summaries;
}

}
