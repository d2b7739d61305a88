package balance

import "time"

// quotaBurst is how long a tenant's unused quota is saved up.
const quotaBurst = 2 * time.Second

// tenantWorth is what a tenant's next request is worth: less beyond its quota, of which each instance
// counts its own part. It orders requests only while there is no room for all.
func (b *Balancer) tenantWorth(now time.Duration, tenant int) float64 {
	if len(b.quota) == 0 {
		return 1
	}
	if tenant < 0 || tenant >= len(b.quota) {
		return b.set.OverQuotaValue // nobody's quota
	}
	perSecond := b.soft * b.set.Tenants[tenant].QuotaPerSecond / float64(b.set.Instances)
	if b.quota[tenant].Take(now, perSecond, perSecond*quotaBurst.Seconds()) {
		return 1
	}
	return b.set.OverQuotaValue
}
