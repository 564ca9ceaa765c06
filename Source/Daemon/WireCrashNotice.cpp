#include "Daemon/WireCrashNotice.h"

#include "Peer/PeerMessages_generated.h"

namespace Mangofall {

namespace {

std::vector<std::unique_ptr<Wire::CrashLossT>> toWireLosses(const std::set<CrashLoss> &losses)
{
    std::vector<std::unique_ptr<Wire::CrashLossT>> wire;
    for (const CrashLoss &loss : losses) {
        wire.push_back(std::make_unique<Wire::CrashLossT>());
        wire.back()->upstream = loss.upstream.value();
        wire.back()->epoch = loss.epoch;
        wire.back()->reporter = loss.reporter.value();
    }
    return wire;
}

std::set<CrashLoss> fromWireLosses(const std::vector<std::unique_ptr<Wire::CrashLossT>> &wire)
{
    std::set<CrashLoss> losses;
    for (const auto &loss : wire) {
        losses.insert({UpstreamId(loss->upstream), loss->epoch, HostId(loss->reporter)});
    }
    return losses;
}

}

Wire::CrashNoticeT toWire(const CrashNotice &notice)
{
    Wire::CrashNoticeT wire;
    wire.number = notice.number;
    wire.organisation = notice.fingerprint.organisation.value();
    wire.content_hash = notice.fingerprint.contentHash;
    wire.losses = toWireLosses(notice.losses);
    wire.cleared = toWireLosses(notice.cleared);
    wire.remaining_us = std::chrono::duration_cast<std::chrono::microseconds>(notice.remaining).count();
    return wire;
}

CrashNotice fromWire(const Wire::CrashNoticeT &wire)
{
    CrashNotice notice;
    notice.number = wire.number;
    notice.fingerprint.organisation = OrganisationId(wire.organisation);
    notice.fingerprint.contentHash = wire.content_hash;
    notice.losses = fromWireLosses(wire.losses);
    notice.cleared = fromWireLosses(wire.cleared);
    notice.remaining = std::chrono::microseconds(wire.remaining_us);
    return notice;
}

}
