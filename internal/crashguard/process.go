package crashguard

// Process is one process of an upstream. A restart under the same ID has another
// incarnation.
type Process struct {
	Upstream    string `json:"upstream"` // ID
	Incarnation int64  `json:"incarnation"`
}

// Crash is the crash of an upstream process while it ran a request.
type Crash struct {
	Process
	Request string `json:"request"`         // ID of the attempt of the caller
	Host    string `json:"host"`            // entry host that sent it
	Trial   bool   `json:"trial,omitempty"` // the request was sent as a trial
	Tag     string `json:"tag,omitempty"`   // in a shared record: identifies the request
}
