#pragma once

namespace Mangofall {

struct DeclaredFleet;
class JsonObjectReader;

/**
 * Checks what no single field shows: at least one preset, a known initial preset, one organisation per key, one upstream per address and port, one
 * route per prefix, and runners for each route's service. Problems are added to \p reader.
 */
void checkDeclaredFleet(const DeclaredFleet &fleet, JsonObjectReader &reader);

}
