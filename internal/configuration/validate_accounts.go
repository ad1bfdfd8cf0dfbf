package configuration

import "fmt"

// keySet holds the keys seen so far, by ID and by digest.
type keySet struct {
	ids     map[WithdrawnKey]bool
	digests map[string]WithdrawnKey
}

func (v *validator) checkClientAccounts() {
	v.accountNames = names{}
	v.keys = keySet{ids: map[WithdrawnKey]bool{}, digests: map[string]WithdrawnKey{}}
	for i, account := range v.c.ClientAccounts {
		e := element{v, "clientAccounts", i}
		e.checkUniqueName(account.Name, v.accountNames)
		e.checkPositive("rate", account.Rate, maxRate)
		checkRange(e, "burst", account.Burst, 1, maxBurst)
		checkRange(e, "weight", account.Weight, 0, maxWeight)
		if len(account.Keys) > maxKeysOfAccount {
			e.report("keys", CodeTooLong, "%d keys; at most %d are allowed", len(account.Keys), maxKeysOfAccount)
		}
		for j, key := range account.Keys {
			field := fmt.Sprintf("keys[%d].", j)
			e.checkKey(field, GrantedKey{Account: account.Name, ID: key.ID, Digest: key.Digest})
		}
	}
}

func (v *validator) checkGrantedKeys() {
	for i, key := range v.c.GrantedKeys {
		e := element{v, "grantedKeys", i}
		e.checkReference("account", "client account", key.Account, v.accountNames)
		e.checkKey("", key)
	}
}

// checkKey checks one key of a client account. field is the prefix of the key's
// fields within the element.
func (e element) checkKey(field string, key GrantedKey) {
	name := WithdrawnKey{Account: key.Account, Key: key.ID}
	if e.checkName(field+"id", key.ID) && e.v.keys.ids[name] {
		e.report(field+"id", CodeDuplicate, "client account %q already has a key %q", key.Account, key.ID)
	}
	e.v.keys.ids[name] = true
	if !digestPattern.MatchString(key.Digest) {
		e.report(field+"digest", CodeFormat, "the digest must have 64 lower-case hexadecimal digits")
		return
	}
	if first, taken := e.v.keys.digests[key.Digest]; taken {
		e.report(field+"digest", CodeDuplicate, "the digest is already that of key %q of client account %q", first.Key, first.Account)
		return
	}
	e.v.keys.digests[key.Digest] = name
}

func (v *validator) checkWithdrawnKeys() {
	seen := map[WithdrawnKey]bool{}
	for i, withdrawn := range v.c.WithdrawnKeys {
		e := element{v, "withdrawnKeys", i}
		e.checkReference("account", "client account", withdrawn.Account, v.accountNames)
		switch {
		case withdrawn.Key == "":
			e.report("key", CodeMissing, "the ID of a key is required")
		case v.accountNames[withdrawn.Account] && !v.keys.ids[withdrawn]:
			e.report("key", CodeDangling, "client account %q has no key %q", withdrawn.Account, abbreviate(withdrawn.Key))
		case seen[withdrawn]:
			e.report("key", CodeDuplicate, "key %q is already withdrawn", withdrawn.Key)
		}
		seen[withdrawn] = true
	}
}
