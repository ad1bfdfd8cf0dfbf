package configuration

import "fmt"

// keySet holds the keys seen so far, by name and by digest.
type keySet struct {
	names   map[WithdrawnKey]bool
	digests map[string]WithdrawnKey
}

func (v *validator) clientAccounts() {
	v.accountNames = names{}
	v.keys = keySet{names: map[WithdrawnKey]bool{}, digests: map[string]WithdrawnKey{}}
	for i, account := range v.c.ClientAccounts {
		e := element{v, "clientAccounts", i}
		e.uniqueName(account.Name, v.accountNames)
		e.positive("rate", account.Rate, maxRate)
		within(e, "burst", account.Burst, 1, maxBurst)
		within(e, "weight", account.Weight, 0, maxWeight)
		if len(account.Keys) > maxKeysOfAccount {
			e.issue("keys", CodeTooLong, "%d keys; at most %d are allowed", len(account.Keys), maxKeysOfAccount)
		}
		for j, key := range account.Keys {
			field := fmt.Sprintf("keys[%d].", j)
			e.key(field, GrantedKey{Account: account.Name, ID: key.ID, Digest: key.Digest})
		}
	}
}

func (v *validator) grantedKeys() {
	for i, key := range v.c.GrantedKeys {
		e := element{v, "grantedKeys", i}
		e.reference("account", "client account", key.Account, v.accountNames)
		e.key("", key)
	}
}

// key checks one granted key. Field is the path of the key in the element.
func (e element) key(field string, key GrantedKey) {
	name := WithdrawnKey{Account: key.Account, Key: key.ID}
	if e.name(field+"id", key.ID) && e.v.keys.names[name] {
		e.issue(field+"id", CodeDuplicate, "client account %q already has a key %q", key.Account, key.ID)
	}
	e.v.keys.names[name] = true
	if !digestPattern.MatchString(key.Digest) {
		e.issue(field+"digest", CodeFormat, "a digest has 64 lower-case hexadecimal digits")
		return
	}
	if first, taken := e.v.keys.digests[key.Digest]; taken {
		e.issue(field+"digest", CodeDuplicate, "the digest is already that of key %q of client account %q", first.Key, first.Account)
		return
	}
	e.v.keys.digests[key.Digest] = name
}

func (v *validator) withdrawnKeys() {
	seen := map[WithdrawnKey]bool{}
	for i, withdrawn := range v.c.WithdrawnKeys {
		e := element{v, "withdrawnKeys", i}
		e.reference("account", "client account", withdrawn.Account, v.accountNames)
		switch {
		case withdrawn.Key == "":
			e.issue("key", CodeMissing, "the ID of a key is required")
		case v.accountNames[withdrawn.Account] && !v.keys.names[withdrawn]:
			e.issue("key", CodeDangling, "client account %q has no key %q", withdrawn.Account, abbreviate(withdrawn.Key))
		case seen[withdrawn]:
			e.issue("key", CodeDuplicate, "key %q is already withdrawn", withdrawn.Key)
		}
		seen[withdrawn] = true
	}
}
