package steering

import (
	"encoding/json"
	"time"

	"peridotrail/internal/configuration"
	"peridotrail/internal/distribution"
	"peridotrail/internal/host"
)

// ShiftPrefix begins the keys of the progress documents of shifts.
const ShiftPrefix = distribution.StatePrefix + "shift/"

// Progress is the state of one shift. It is stored under ShiftPrefix and applied
// by every host. It outlives its shift in the configuration until all callers
// have moved back.
type Progress struct {
	Name     string                 `json:"name"`
	From     string                 `json:"from"`
	To       string                 `json:"to"`
	Base     float64                `json:"base"`  // beginning of the range of callers
	Moved    float64                `json:"moved"` // length of the range that has moved
	Goal     float64                `json:"goal"`
	Cap      float64                `json:"cap"` // largest change of Moved in an interval
	Interval configuration.Duration `json:"interval"`
	Step     uint64                 `json:"step"` // number of changes of Moved
	Host     host.ID                `json:"host"` // that made the last step
	Epoch    uint64                 `json:"epoch"`
	Time     time.Time              `json:"time"` // of the last step, for operators only
	Waiting  string                 `json:"waiting,omitempty"`
}

// Covers reports whether the shift moves the callers at position u.
func (p *Progress) Covers(u float64) bool { return u >= p.Base && u < p.Base+p.Moved }

// Ended reports whether the shift no longer moves any callers and is wanted no more.
func (p *Progress) Ended() bool { return p.Moved == 0 && p.Goal == 0 }

// ReadShifts decodes the progress documents. Documents that cannot be decoded
// are left out.
func ReadShifts(documents []distribution.Document) []Progress {
	var shifts []Progress
	for _, document := range documents {
		var progress Progress
		if len(document.Value) == 0 || json.Unmarshal(document.Value, &progress) != nil {
			continue
		}
		shifts = append(shifts, progress)
	}
	return shifts
}
