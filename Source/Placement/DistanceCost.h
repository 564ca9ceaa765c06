#pragma once

namespace Mangofall::Placement {

struct PlacementRequest;
struct UpstreamEntry;

/**
 * \class DistanceCost
 * \brief The cost that the way to an upstream adds to choosing it, in the unit of the selector's other costs.
 */
class DistanceCost
{
public:
    DistanceCost() = default;
    DistanceCost(const DistanceCost &) = delete;
    DistanceCost &operator=(const DistanceCost &) = delete;
    virtual ~DistanceCost() = default;

    /// The cost of sending \p request to \p upstream; 0 in the data centre of the entry host.
    virtual double of(const PlacementRequest &request, const UpstreamEntry &upstream) const = 0;
};

/**
 * \class ConstantDistanceCost
 * \brief The same cost for each upstream of another data centre.
 */
class ConstantDistanceCost final : public DistanceCost
{
public:
    explicit ConstantDistanceCost(double cost);

    double of(const PlacementRequest &request, const UpstreamEntry &upstream) const override;

private:
    double m_cost;
};

}
