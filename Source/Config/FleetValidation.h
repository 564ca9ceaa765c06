#pragma once

namespace Mangofall {

struct DeclaredFleet;
class JsonObjectReader;

/**
 * Checks the rules that span several fields: at least one preset is declared, the initial preset is among them, each organisation has an API key hash
 * of its own, each upstream an address and port of its own and each route a path prefix of its own, and each route's service has an upstream. Problems
 * are added to \p reader.
 */
void checkDeclaredFleet(const DeclaredFleet &fleet, JsonObjectReader &reader);

}
