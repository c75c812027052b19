#include "load/PolicyCampaign.h"

#include "load/PolicySwitch.h"

namespace cranberry::load {

Result<PolicyComparison> comparePolicies(
    const PolicyCampaign &campaign,
    const std::function<void(const QString &policy, quint64 seed, const LoadMetrics &metrics)>
        &onRun)
{
    PolicyComparison comparison;
    for (const QString &policy : campaign.policies)
        comparison.append({policy, {}});
    for (qsizetype round = 0; round < campaign.seeds.size(); ++round) {
        const quint64 seed = campaign.seeds.at(round);
        // The first policy of a round runs with the coldest caches, so the order rotates from
        // round to round.
        for (qsizetype i = 0; i < comparison.size(); ++i) {
            PolicyRuns &policy = comparison[(i + round) % comparison.size()];
            BOOST_OUTCOME_TRY(switchPolicy(campaign.targets, campaign.service, policy.policy));
            policy.runs.append(runLoad(campaign.targets, campaign.mix, seed, campaign.limits));
            onRun(policy.policy, seed, policy.runs.last());
        }
    }
    return comparison;
}

} // namespace cranberry::load
