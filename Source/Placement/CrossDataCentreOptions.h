#pragma once

namespace Mangofall::Placement {

/**
 * \class CrossDataCentreOptions
 * \brief What the operator says about traffic between data centres.
 */
struct CrossDataCentreOptions {
    double pricePerGigabyte = 0; ///< Of traffic that leaves a data centre, in units of the value of a request that is answered on time.
    double maxShare = 1; ///< Largest share of a data centre's requests that may leave it while it has upstreams of its own.

    friend bool operator==(const CrossDataCentreOptions &, const CrossDataCentreOptions &) = default;
};

}
