#include "Base/Sha256.h"

#include "Property.h"

using namespace Mangofall;

TEST_GROUP(Sha256Test){};

// Guards against a change of the algorithm or of the hexadecimal format, after which no organisation's API key would be accepted. The test vectors are
// those of FIPS 180-2.
TEST(Sha256Test, KnownVectors)
{
    STRCMP_EQUAL("e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855", sha256Hex("").c_str());
    STRCMP_EQUAL("ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad", sha256Hex("abc").c_str());
}
