package servicelevel

import (
	"cmp"
	"slices"
	"time"
)

// Minute is a wall-clock minute, counted from the Unix epoch.
type Minute int64

// MinuteOf returns the minute that holds t.
func MinuteOf(t time.Time) Minute { return Minute(t.Unix() / 60) }

// Time returns the beginning of the minute.
func (m Minute) Time() time.Time { return time.Unix(int64(m)*60, 0).UTC() }

// Counts are requests that count towards an objective.
type Counts struct {
	Good  int64 `cbor:"1,keyasint" json:"good"`
	Total int64 `cbor:"2,keyasint" json:"total"`
}

func (c *Counts) add(other Counts) {
	c.Good += other.Good
	c.Total += other.Total
}

// BadShare returns the share of bad requests; 0 if there are none.
func (c Counts) BadShare() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Total-c.Good) / float64(c.Total)
}

// Bucket holds the counts of a period.
type Bucket struct {
	Start  Minute `cbor:"1,keyasint" json:"start"`
	Counts `cbor:"2,keyasint"`
}

// Lengths of what a Series keeps.
const (
	fineMinutes     = 6 * 60 // in buckets of one minute
	maxCoarse       = 672    // buckets over the objective's window
	minCoarseLength = 60     // minutes
)

// Series holds the counts of one objective in one failure domain: the last six
// hours by the minute, and the objective's window in coarser buckets. The zero
// value is not usable; see NewSeries.
type Series struct {
	Through      Minute   `cbor:"1,keyasint"` // last minute that is counted
	Window       Minute   `cbor:"2,keyasint"` // length of the objective's window
	CoarseLength Minute   `cbor:"3,keyasint"` // length of one coarse bucket
	Fine         []Bucket `cbor:"4,keyasint"`
	Coarse       []Bucket `cbor:"5,keyasint"`
}

// NewSeries returns an empty series that counts minutes after through.
func NewSeries(window time.Duration, through Minute) *Series {
	minutes := Minute(window / time.Minute)
	return &Series{
		Through:      through,
		Window:       minutes,
		CoarseLength: max(minutes/maxCoarse, minCoarseLength),
	}
}

// Add counts the buckets of minutes after Through, up to through, and moves
// Through there. Buckets of minutes that are counted already are ignored, so
// that one call for each set of hosts and minutes is counted once.
func (s *Series) Add(buckets []Bucket, through Minute) {
	if through <= s.Through {
		return
	}
	for _, bucket := range buckets {
		if bucket.Start <= s.Through || bucket.Start > through {
			continue
		}
		s.Fine = addTo(s.Fine, bucket)
		coarse := bucket
		coarse.Start -= coarse.Start % s.CoarseLength
		s.Coarse = addTo(s.Coarse, coarse)
	}
	s.Through = through
	s.Fine = after(s.Fine, through-fineMinutes)
	s.Coarse = after(s.Coarse, through-s.Window-s.CoarseLength)
}

// addTo adds a bucket to a list that is sorted by start.
func addTo(buckets []Bucket, bucket Bucket) []Bucket {
	i, found := slices.BinarySearchFunc(buckets, bucket, compareStarts)
	if found {
		buckets[i].add(bucket.Counts)
		return buckets
	}
	return slices.Insert(buckets, i, bucket)
}

func compareStarts(a, b Bucket) int { return cmp.Compare(a.Start, b.Start) }

// after drops the buckets that start at or before limit.
func after(buckets []Bucket, limit Minute) []Bucket {
	i, _ := slices.BinarySearchFunc(buckets, Bucket{Start: limit + 1}, compareStarts)
	return slices.Delete(buckets, 0, i)
}

// Sum returns the counts of the given number of minutes before the end of
// Through. Beyond six hours it is exact to one coarse bucket.
func (s *Series) Sum(minutes Minute) Counts {
	buckets := s.Fine
	limit := s.Through - minutes
	if minutes > fineMinutes {
		buckets = s.Coarse
		limit -= s.CoarseLength - 1
	}
	var sum Counts
	for _, bucket := range buckets {
		if bucket.Start > limit {
			sum.add(bucket.Counts)
		}
	}
	return sum
}

// Merge returns the sum of the series of several failure domains.
func Merge(all []*Series) *Series {
	merged := &Series{CoarseLength: minCoarseLength}
	for _, s := range all {
		merged.Through = max(merged.Through, s.Through)
		merged.Window = max(merged.Window, s.Window)
		merged.CoarseLength = max(merged.CoarseLength, s.CoarseLength)
	}
	for _, s := range all {
		for _, bucket := range s.Fine {
			merged.Fine = addTo(merged.Fine, bucket)
		}
		for _, bucket := range s.Coarse {
			bucket.Start -= bucket.Start % merged.CoarseLength
			merged.Coarse = addTo(merged.Coarse, bucket)
		}
	}
	return merged
}
