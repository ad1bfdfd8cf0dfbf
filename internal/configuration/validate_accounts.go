package configuration

import "fmt"

// digestSite is the first place where a digest stands.
type digestSite struct {
	account string
	key     string
}

func (v *validator) clientAccounts() {
	v.accountNames = names{}
	digests := map[string]digestSite{}
	for i, account := range v.c.ClientAccounts {
		e := element{v, "clientAccounts", i}
		e.uniqueName(account.Name, v.accountNames)
		e.positive("rate", account.Rate, maxRate)
		within(e, "burst", account.Burst, 1, maxBurst)
		within(e, "weight", account.Weight, 0, maxWeight)
		e.keys(account, digests)
	}
}

func (e element) keys(account ClientAccount, digests map[string]digestSite) {
	if len(account.Keys) > maxKeysOfAccount {
		e.issue("keys", CodeTooLong, "%d keys; at most %d are allowed", len(account.Keys), maxKeysOfAccount)
	}
	ids := names{}
	for i, key := range account.Keys {
		field := fmt.Sprintf("keys[%d]", i)
		if e.name(field+".id", key.ID) && ids[key.ID] {
			e.issue(field+".id", CodeDuplicate, "key %q is already defined", key.ID)
		}
		ids[key.ID] = true
		e.digest(field+".digest", digestSite{account.Name, key.ID}, key.Digest, digests)
	}
}

func (e element) digest(field string, site digestSite, digest string, digests map[string]digestSite) {
	if !digestPattern.MatchString(digest) {
		e.issue(field, CodeFormat, "a digest has 64 lower-case hexadecimal digits")
		return
	}
	if first, taken := digests[digest]; taken {
		e.issue(field, CodeDuplicate, "the digest is already that of key %q of client account %q", first.key, first.account)
		return
	}
	digests[digest] = site
}

func (v *validator) withdrawnKeys() {
	granted := map[WithdrawnKey]bool{}
	for _, account := range v.c.ClientAccounts {
		for _, key := range account.Keys {
			granted[WithdrawnKey{Account: account.Name, Key: key.ID}] = true
		}
	}
	seen := map[WithdrawnKey]bool{}
	for i, withdrawn := range v.c.WithdrawnKeys {
		e := element{v, "withdrawnKeys", i}
		e.reference("account", "client account", withdrawn.Account, v.accountNames)
		switch {
		case withdrawn.Key == "":
			e.issue("key", CodeMissing, "the ID of a key is required")
		case v.accountNames[withdrawn.Account] && !granted[withdrawn]:
			e.issue("key", CodeDangling, "client account %q has no key %q", withdrawn.Account, abbreviate(withdrawn.Key))
		case seen[withdrawn]:
			e.issue("key", CodeDuplicate, "key %q is already withdrawn", withdrawn.Key)
		}
		seen[withdrawn] = true
	}
}
