#pragma once

#include "Streams/CrashNotice.h"

namespace Mangofall::Wire {
struct CrashNoticeT;
}

namespace Mangofall {

Wire::CrashNoticeT toWire(const CrashNotice &notice);
CrashNotice fromWire(const Wire::CrashNoticeT &wire);

}
