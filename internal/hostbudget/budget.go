// Package hostbudget decides how much memory and how many descriptors the callers of a host may
// take, and which connections end when they run short. It does no I/O and has no clock.
package hostbudget

import "sync"

// Class is a group of connections with a limit of its own.
type Class int

// Classes of connections.
const (
	Callers  Class = iota
	Internal       // readiness checks, look-ups, metrics and other hosts
	classes
)

const (
	// DefaultMemory applies without a memory limit, in bytes. It allows 256 MB for callers.
	DefaultMemory = 1 << 30
	// DefaultDescriptors applies without a limit of descriptors. The limit of the process
	// is usually lower.
	DefaultDescriptors = 1 << 16
	// minMemory lets a few callers be served however small the memory limit is, in bytes.
	minMemory = 8 << 20
	// memoryFraction is the fraction of the memory limit that callers may take. The heap
	// grows to twice the live data before it is collected, and a host without load takes
	// 20 to 30 MB.
	memoryFraction = 0.25
	// FileDescriptors are reserved for files.
	FileDescriptors = 200
	// callerFraction and internalFraction are the fractions of the other descriptors for
	// connections of each class. The rest is for upstreams, the store and other hosts.
	callerFraction, internalFraction = 0.5, 0.15
	// minConnections of each class may be open however few descriptors there are.
	minConnections = 8
	// pressedFraction and calmFraction are the fractions of a limit at which callers
	// that cost most are cut off, and no longer are. The gap prevents frequent changes.
	pressedFraction, calmFraction = 0.75, 0.6
)

// Charges in bytes.
const (
	ConnectionBytes = 16 << 10 // buffers of net/http of 4 kB each, and two stacks
	RequestBytes    = 48 << 10 // buffers of an upstream connection and for copies, headers
	HeadLineBytes   = 256      // a header line in a map, beyond its bytes
	// HeadFreeBytes of a head are part of ConnectionBytes: heads are usually smaller.
	HeadFreeBytes = 8 << 10
)

// Limits are the amounts that all callers together may take.
type Limits struct {
	Memory      int64 // bytes
	Connections [classes]int
}

// LimitsFor returns the limits of a host with the given memory in bytes and number of
// descriptors. Zero means the default.
func LimitsFor(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = DefaultMemory
	}
	if descriptors <= 0 {
		descriptors = DefaultDescriptors
	}
	sockets := float64(max(descriptors-FileDescriptors, 0))
	return Limits{
		Memory: max(minMemory, int64(float64(memory)*memoryFraction)),
		Connections: [classes]int{
			Callers:  max(minConnections, int(sockets*callerFraction)),
			Internal: max(minConnections, int(sockets*internalFraction)),
		},
	}
}

// Usage is what callers take now.
type Usage struct {
	Memory      int64 // bytes
	Connections [classes]int
}

// admits reports whether another connection of a class may be opened. Connections of the class
// Internal don't wait for memory: the host must stay visible to those who watch it.
func (l Limits) admits(u Usage, class Class) bool {
	return u.Connections[class] < l.Connections[class] && (class == Internal || u.Memory+ConnectionBytes <= l.Memory)
}

// pressed reports whether callers that cost most must be cut off. before is the last decision.
func (l Limits) pressed(u Usage, before bool) bool {
	fraction := pressedFraction
	if before {
		fraction = calmFraction
	}
	return float64(u.Memory) > fraction*float64(l.Memory) ||
		float64(u.Connections[Callers]) > fraction*float64(l.Connections[Callers])
}

// partial returns how many of the wanted bytes a response may buffer: at most an eighth of the
// free memory, so that many long responses at once each get less, and at least floor.
func (l Limits) partial(u Usage, wanted, floor int64) int64 {
	return min(wanted, max(floor, (l.Memory-u.Memory)/8))
}

// Budget is the memory and the connections of callers. It is safe for concurrent use.
type Budget struct {
	mu      sync.Mutex // guards the fields below
	limits  Limits
	usage   Usage
	pressed bool
}

// New returns a budget of which nothing is taken.
func New(limits Limits) *Budget { return &Budget{limits: limits} }

// SetLimits replaces the limits. What is taken stays taken.
func (b *Budget) SetLimits(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
}

// Open takes a connection and its memory. It takes nothing and returns false if there is no room.
func (b *Budget) Open(class Class) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.limits.admits(b.usage, class) {
		return false
	}
	b.usage.Connections[class]++
	b.usage.Memory += ConnectionBytes
	return true
}

// Closed gives back a connection and its memory.
func (b *Budget) Closed(class Class) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage.Connections[class]--
	b.usage.Memory -= ConnectionBytes
}

// Take takes n bytes. It takes none and returns false if there is no room.
func (b *Budget) Take(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.usage.Memory+n > b.limits.Memory {
		return false
	}
	b.usage.Memory += n
	return true
}

// Charge takes n bytes even if there is no room.
func (b *Budget) Charge(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.usage.Memory += n
}

// TakePart takes at most wanted and at least floor bytes and returns their number: less under
// pressure.
func (b *Budget) TakePart(wanted, floor int64) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.limits.partial(b.usage, wanted, floor)
	b.usage.Memory += n
	return n
}

// Give gives n bytes back.
func (b *Budget) Give(n int64) { b.Charge(-n) }

// Pressed reports whether callers that cost most must be cut off now.
func (b *Budget) Pressed() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pressed = b.limits.pressed(b.usage, b.pressed)
	return b.pressed
}

// Snapshot returns the limits and what is taken.
func (b *Budget) Snapshot() (Limits, Usage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limits, b.usage
}
