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

// Counts are the numbers of good and of all requests of an objective.
type Counts struct {
	Good  int64 `cbor:"1,keyasint" json:"good"`
	Total int64 `cbor:"2,keyasint" json:"total"`
}

func (c *Counts) add(other Counts) {
	c.Good += other.Good
	c.Total += other.Total
}

// BadFraction returns the fraction of bad requests, or 0 if there were no requests.
func (c Counts) BadFraction() float64 {
	if c.Total == 0 {
		return 0
	}
	return float64(c.Total-c.Good) / float64(c.Total)
}

// Bucket holds the counts of a period that begins at Start.
type Bucket struct {
	Start  Minute `cbor:"1,keyasint" json:"start"`
	Counts `cbor:"2,keyasint"`
}

// Limits on the size of a Series.
const (
	fineMinutes      = 6 * 60 // kept in buckets of one minute
	maxCoarseBuckets = 672    // buckets in the objective's window
	minCoarseLength  = 60     // minutes
)

// Series holds the counts of one objective in one failure domain: the last six
// hours in buckets of a minute, and the objective's window in coarser buckets. The
// zero value is not usable; see NewSeries. It is not safe for concurrent use.
type Series struct {
	Through      Minute   `cbor:"1,keyasint"` // last minute that is included
	Window       Minute   `cbor:"2,keyasint"` // length of the objective's window, in minutes
	CoarseLength Minute   `cbor:"3,keyasint"` // length of one coarse bucket, in minutes
	Fine         []Bucket `cbor:"4,keyasint"`
	Coarse       []Bucket `cbor:"5,keyasint"`
}

// NewSeries returns an empty series that counts minutes after through.
func NewSeries(window time.Duration, through Minute) *Series {
	minutes := Minute(window / time.Minute)
	return &Series{
		Through:      through,
		Window:       minutes,
		CoarseLength: max(minutes/maxCoarseBuckets, minCoarseLength),
	}
}

// Add adds the buckets of minutes after Through, up to and including through, and
// advances Through. It ignores other buckets, so that minutes which are collected
// twice are counted once. All buckets of a minute must be in the same call.
func (s *Series) Add(buckets []Bucket, through Minute) {
	if through <= s.Through {
		return
	}
	for _, bucket := range buckets {
		if bucket.Start <= s.Through || bucket.Start > through {
			continue
		}
		s.Fine = mergeBucket(s.Fine, bucket)
		coarse := bucket
		coarse.Start -= coarse.Start % s.CoarseLength
		s.Coarse = mergeBucket(s.Coarse, coarse)
	}
	s.Through = through
	s.Fine = dropThrough(s.Fine, through-fineMinutes)
	s.Coarse = dropThrough(s.Coarse, through-s.Window-s.CoarseLength)
}

// mergeBucket adds a bucket to a list that is sorted by Start, and sums the counts of
// buckets with the same Start.
func mergeBucket(buckets []Bucket, bucket Bucket) []Bucket {
	i, found := slices.BinarySearchFunc(buckets, bucket, compareStarts)
	if found {
		buckets[i].add(bucket.Counts)
		return buckets
	}
	return slices.Insert(buckets, i, bucket)
}

func compareStarts(a, b Bucket) int { return cmp.Compare(a.Start, b.Start) }

// dropThrough removes the buckets that start at or before last.
func dropThrough(buckets []Bucket, last Minute) []Bucket {
	i, _ := slices.BinarySearchFunc(buckets, Bucket{Start: last + 1}, compareStarts)
	return slices.Delete(buckets, 0, i)
}

// Sum returns the counts of the given number of minutes up to and including Through.
// Beyond six hours the result is exact to one coarse bucket.
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
			merged.Fine = mergeBucket(merged.Fine, bucket)
		}
		for _, bucket := range s.Coarse {
			bucket.Start -= bucket.Start % merged.CoarseLength
			merged.Coarse = mergeBucket(merged.Coarse, bucket)
		}
	}
	return merged
}
