package allotment

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"github.com/go-faster/errors"
)

// Store keys of the allotment.
const (
	StorePrefix     = "peridotrail/allotment/"
	documentsPrefix = StorePrefix + "accounts/"
	domainsPrefix   = StorePrefix + "domains/"
)

// DocumentCount is the number of documents among which the client accounts are
// distributed by hash.
const DocumentCount = 32

// DocumentKey returns the store key of a document.
func DocumentKey(index int) string { return fmt.Sprintf("%s%02x", documentsPrefix, index) }

// DocumentIndexFromKey returns the index of the document with the given store key,
// or false if it is not the key of a document.
func DocumentIndexFromKey(key string) (int, bool) {
	rest, ok := strings.CutPrefix(key, documentsPrefix)
	if !ok {
		return 0, false
	}
	var index int
	if _, err := fmt.Sscanf(rest, "%02x", &index); err != nil || index >= DocumentCount {
		return 0, false
	}
	return index, true
}

// DocumentForAccount returns the index of the document that holds a client account.
func DocumentForAccount(account string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(account))
	return int(h.Sum32() % DocumentCount)
}

// DomainShare is the share of one failure domain in a client account.
//
// The domain keeps the floor until its own leader writes a lower one or an operator
// marks the domain dead. The extra share is valid while the domain's record is renewed
// and has the same generation.
type DomainShare struct {
	Domain     string  `cbor:"1,keyasint"`
	Floor      Share   `cbor:"2,keyasint,omitempty"`
	Extra      Share   `cbor:"3,keyasint,omitempty"`
	Generation uint64  `cbor:"4,keyasint,omitempty"` // generation of the domain's record for which Extra is valid
	Demand     float64 `cbor:"5,keyasint,omitempty"` // requests per second that callers in the domain want
}

// Total returns the floor and the extra share.
func (s DomainShare) Total() Share { return s.Floor.Plus(s.Extra) }

// FleetAccount is the division of one client account among the failure domains.
type FleetAccount struct {
	Account  string        `cbor:"1,keyasint"`
	Revision uint64        `cbor:"2,keyasint"` // newest configuration revision under which the account was changed
	Target   Share         `cbor:"3,keyasint"` // configured rate and burst
	InForce  Share         `cbor:"4,keyasint"` // limit for the sum of all shares; above Target while a lower rate takes effect
	Domains  []DomainShare `cbor:"5,keyasint"`
}

// Live returns the sum of all shares.
func (a *FleetAccount) Live() Share {
	var live Share
	for _, d := range a.Domains {
		live = live.Plus(d.Total())
	}
	return live
}

// Domain returns the share of a domain, which is empty if the domain has none.
func (a *FleetAccount) Domain(name string) DomainShare {
	for _, d := range a.Domains {
		if d.Domain == name {
			return d
		}
	}
	return DomainShare{Domain: name}
}

func (a *FleetAccount) setDomain(share DomainShare) {
	for i, d := range a.Domains {
		if d.Domain == share.Domain {
			a.Domains[i] = share
			return
		}
	}
	a.Domains = append(a.Domains, share)
}

// DomainEpoch is the newest epoch under which a domain's leader wrote a document.
type DomainEpoch struct {
	Domain string `cbor:"1,keyasint"`
	Epoch  uint64 `cbor:"2,keyasint"`
}

// FleetDocument is a document in the platform's store with the division of some
// client accounts. Each write replaces the whole document by compare-and-swap.
type FleetDocument struct {
	Operation string         `cbor:"1,keyasint"` // identifies the write
	Epochs    []DomainEpoch  `cbor:"2,keyasint,omitempty"`
	Accounts  []FleetAccount `cbor:"3,keyasint,omitempty"`
}

// DecodeError reports a store value that cannot be decoded.
type DecodeError struct {
	Key string
	Err error
}

// Error implements error.
func (e *DecodeError) Error() string { return fmt.Sprintf("allotment %q: %v", e.Key, e.Err) }

// Unwrap returns the underlying error.
func (e *DecodeError) Unwrap() error { return e.Err }

// DecodeDocument decodes a store value. An empty value is an empty document. It fails
// with a *DecodeError.
func DecodeDocument(key string, value []byte) (FleetDocument, error) {
	var d FleetDocument
	if len(value) == 0 {
		return d, nil
	}
	if err := cbor.Unmarshal(value, &d); err != nil {
		return d, &DecodeError{Key: key, Err: err}
	}
	return d, nil
}

// Encode returns the store value.
func (d *FleetDocument) Encode() ([]byte, error) {
	value, err := cbor.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "encode allotment")
	}
	return value, nil
}

// Account returns the division of an account, or nil if the document has none.
func (d *FleetDocument) Account(name string) *FleetAccount {
	i := slices.IndexFunc(d.Accounts, func(a FleetAccount) bool { return a.Account == name })
	if i < 0 {
		return nil
	}
	return &d.Accounts[i]
}

// Epoch returns the newest epoch under which the domain's leader wrote the document,
// or zero if none did.
func (d *FleetDocument) Epoch(domain string) uint64 {
	for _, e := range d.Epochs {
		if e.Domain == domain {
			return e.Epoch
		}
	}
	return 0
}

func (d *FleetDocument) setEpoch(domain string, epoch uint64) {
	for i, e := range d.Epochs {
		if e.Domain == domain {
			d.Epochs[i].Epoch = epoch
			return
		}
	}
	d.Epochs = append(d.Epochs, DomainEpoch{Domain: domain, Epoch: epoch})
}

// clone returns a deep copy.
func (d *FleetDocument) clone() FleetDocument {
	out := *d
	out.Epochs = slices.Clone(d.Epochs)
	out.Accounts = slices.Clone(d.Accounts)
	for i := range out.Accounts {
		out.Accounts[i].Domains = slices.Clone(out.Accounts[i].Domains)
	}
	return out
}
