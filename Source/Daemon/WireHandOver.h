#pragma once

#include "Admission/HandOverMessage.h"

namespace Mangofall::Wire {
struct HandOverT;
}

namespace Mangofall {

Wire::HandOverT toWire(const HandOverMessage &message);
HandOverMessage fromWire(const Wire::HandOverT &wire);

}
