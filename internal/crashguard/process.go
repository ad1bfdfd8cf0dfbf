package crashguard

// Process is one process of an upstream. A restart under the same ID has another
// incarnation.
type Process struct {
	Upstream    string `json:"upstream"` // ID
	Incarnation int64  `json:"incarnation"`
}
