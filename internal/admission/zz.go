package admission

import "fmt"

func (a *Admitter) Debug(n string) string {
	acct := a.account(n)
	now := a.options.Now()
	acct.mu.Lock()
	defer acct.mu.Unlock()
	return fmt.Sprintf("sh %.1f/%.1f tok %.1f held %.0f bor %.0f dem %.1f asked %d fail %d lent %d ref %d", acct.bucket.Share().Rate, acct.bucket.Share().Burst, acct.bucket.Tokens(now), acct.bucket.Held().Burst, acct.borrowed.Tokens(now), acct.demand, a.stats.asked.Count(), a.stats.askFailed.Count(), a.stats.lent.Count(), a.stats.refused.Count())
}
