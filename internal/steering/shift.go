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
// by every host. After its shift is removed from the configuration, it stays until
// all callers have moved back.
type Progress struct {
	Name     string                 `json:"name"`
	From     string                 `json:"from"`
	To       string                 `json:"to"`
	Base     float64                `json:"base"`  // beginning of the range of caller positions
	Moved    float64                `json:"moved"` // length of the range moved so far, as a share of all callers
	Goal     float64                `json:"goal"`  // configured share; zero to move all callers back
	Cap      float64                `json:"cap"`   // largest change of Moved in an interval
	Interval configuration.Duration `json:"interval"`
	Step     uint64                 `json:"step"`              // number of changes of Moved
	Host     host.ID                `json:"host"`              // host that wrote the document
	Epoch    uint64                 `json:"epoch"`             // leadership epoch of Host
	Time     time.Time              `json:"time"`              // time of the last step, for operators only
	Waiting  string                 `json:"waiting,omitempty"` // why the shift waits or moves back, for operators
}

// Covers reports whether the shift moves the callers at position u, which is
// between 0 and 1.
func (p *Progress) Covers(u float64) bool { return u >= p.Base && u < p.Base+p.Moved }

// Ended reports whether the shift moves no callers and has no goal left.
func (p *Progress) Ended() bool { return p.Moved == 0 && p.Goal == 0 }

// ReadShifts decodes the progress documents. It skips documents that cannot be
// decoded.
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
