package balance

import "time"

// quotaBurst is for how long a tenant's unused quota accumulates.
const quotaBurst = 2 * time.Second

// tenantValue returns the value of a tenant's next request as a share of its class's value: less than 1
// beyond the tenant's quota, of which each instance counts its own part. It orders requests only while there
// is no capacity for all.
func (b *Balancer) tenantValue(now time.Duration, tenant int) float64 {
	if len(b.quota) == 0 {
		return 1
	}
	if tenant < 0 || tenant >= len(b.quota) {
		return b.settings.OverQuotaValue // an unknown tenant has no quota
	}
	perSecond := b.quotaShare * b.settings.Tenants[tenant].QuotaPerSecond / float64(b.settings.Instances)
	if b.quota[tenant].Take(now, perSecond, perSecond*quotaBurst.Seconds()) {
		return 1
	}
	return b.settings.OverQuotaValue
}
