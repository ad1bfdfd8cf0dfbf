package kvstore

import (
	"cmp"
	"encoding/json"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Revision orders all states of the store: by era, then by the number of the write within
// the era. The zero value comes before all of them. Numbers of different eras must not be
// compared, since a store that returns from an older copy gives numbers out again.
type Revision struct {
	Era    Era
	Number uint64 // grows with each write within the era
}

// Compare returns -1, 0 or 1 if r is before, equal to or after other.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Number, other.Number))
}

// Before reports whether r is before other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// Latest returns the latest of some revisions, zero if there is none.
func Latest(revisions ...Revision) Revision {
	var latest Revision
	for _, r := range revisions {
		if latest.Before(r) {
			latest = r
		}
	}
	return latest
}

// IsZero reports whether r is the zero value.
func (r Revision) IsZero() bool { return r == Revision{} }

// String returns the number, preceded by the era if the store names eras.
func (r Revision) String() string { return formatInEra(r.Era, r.Number) }

// MarshalJSON encodes the number if the store names no eras, otherwise an array of the era
// and the number.
func (r Revision) MarshalJSON() ([]byte, error) { return json.Marshal(encodeInEra(r.Era, r.Number)) }

// UnmarshalJSON decodes what MarshalJSON encodes.
func (r *Revision) UnmarshalJSON(data []byte) (err error) {
	r.Era, r.Number, err = decodeInEra(data, json.Unmarshal)
	return err
}

// MarshalCBOR encodes like MarshalJSON.
func (r Revision) MarshalCBOR() ([]byte, error) { return cbor.Marshal(encodeInEra(r.Era, r.Number)) }

// UnmarshalCBOR decodes what MarshalCBOR encodes.
func (r *Revision) UnmarshalCBOR(data []byte) (err error) {
	r.Era, r.Number, err = decodeInEra(data, cbor.Unmarshal)
	return err
}

// LeaseID identifies a lease in the store within its era. Zero means no lease.
type LeaseID struct {
	Era    Era
	Number uint64
}

// IsZero reports whether id identifies no lease.
func (id LeaseID) IsZero() bool { return id.Number == 0 }

// String returns the number, preceded by the era if the store names eras.
func (id LeaseID) String() string { return formatInEra(id.Era, id.Number) }

// MarshalJSON encodes like Revision.MarshalJSON.
func (id LeaseID) MarshalJSON() ([]byte, error) { return json.Marshal(encodeInEra(id.Era, id.Number)) }

// UnmarshalJSON decodes what MarshalJSON encodes.
func (id *LeaseID) UnmarshalJSON(data []byte) (err error) {
	id.Era, id.Number, err = decodeInEra(data, json.Unmarshal)
	return err
}

// MarshalCBOR encodes like MarshalJSON.
func (id LeaseID) MarshalCBOR() ([]byte, error) { return cbor.Marshal(encodeInEra(id.Era, id.Number)) }

// UnmarshalCBOR decodes what MarshalCBOR encodes.
func (id *LeaseID) UnmarshalCBOR(data []byte) (err error) {
	id.Era, id.Number, err = decodeInEra(data, cbor.Unmarshal)
	return err
}

func formatInEra(era Era, number uint64) string {
	if !era.Named() {
		return fmt.Sprint(number)
	}
	return fmt.Sprintf("%v/%d", era, number)
}

// encodeInEra returns the value to encode: a number of a store that names no eras is encoded
// as it was before there were eras.
func encodeInEra(era Era, number uint64) any {
	if !era.Named() {
		return number
	}
	return [2]uint64{uint64(era), number}
}

func decodeInEra(data []byte, unmarshal func([]byte, any) error) (Era, uint64, error) {
	var number uint64
	if unmarshal(data, &number) == nil {
		return 0, number, nil
	}
	var pair []uint64
	if err := unmarshal(data, &pair); err != nil {
		return 0, 0, err
	}
	if len(pair) != 2 {
		return 0, 0, &EncodingError{Fields: len(pair)}
	}
	return Era(pair[0]), pair[1], nil
}

// EncodingError reports an encoded revision or lease that is not a number and not an array
// of an era and a number.
type EncodingError struct{ Fields int }

// Error implements error.
func (e *EncodingError) Error() string {
	return fmt.Sprintf("an array of an era and a number has %d fields", e.Fields)
}
