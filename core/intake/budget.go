package intake

// Bytes is an amount of memory in bytes.
type Bytes int64

// Binary multiples of a byte.
const (
	KiB Bytes = 1 << 10
	MiB Bytes = 1 << 20
)

// Costs in memory of what a caller uses, including the overhead of net/http, of growing
// buffers and of garbage that is not collected yet.
const (
	// ConnectionCost is the stack of the connection's goroutine, its buffers in both
	// directions, and the bytes that the kernel holds for it.
	ConnectionCost = 40 * KiB
	// HeaderLineCost is a parsed header line's share of the header map, its name and value.
	HeaderLineCost Bytes = 160
	// HeadByteCost is charged for each byte of a head: it is buffered until the head is
	// complete, in a buffer that doubles, and copied into strings.
	HeadByteCost Bytes = 3
	// BodyByteCost is charged for each byte of a body: it is buffered, and copied once
	// when the body is decoded.
	BodyByteCost Bytes = 2
)

const (
	// ownMemory is what an entry needs at its peak for its own work: the state of its
	// pools, calls to the store and runners, and the garbage collector's headroom.
	ownMemory = 70 * MiB
	// budgetDivisor leaves as much memory as the budget for garbage: freed buffers stay
	// resident until the next collection.
	budgetDivisor = 2
	// minBudget admits some requests of legal size on the smallest instances.
	minBudget = 8 * MiB
	// connectionShare is the part of the budget, as its divisor, that connections without
	// requests may take.
	connectionShare = 2
	// minConnections keeps a process usable whose settings leave hardly any descriptors.
	minConnections = 16

	// reservedDescriptors are reserved for files.
	reservedDescriptors = 200
	// descriptorShare is the part of the other descriptors, as its divisor, that callers may
	// take. The rest is for calls to runners, the store and other entries.
	descriptorShare = 2

	// receiveBuffer suffices for the rates of callers within a region. Bytes in it count
	// towards the memory of the instance.
	receiveBuffer = 32 * KiB

	// unlimitedBudget and unlimitedConnections apply if the settings name no limits.
	unlimitedBudget      = 1024 * MiB
	unlimitedConnections = 4096
	// runtimeShare is the part of the memory, in percent, that the Go runtime may use
	// before it collects garbage more often. The program's text is not part of it.
	runtimeShare = 85
	percent      = 100
)

// Budget is what all callers together may use.
type Budget struct {
	Bytes       Bytes
	Connections int
	// ReceiveBuffer is the size of the kernel's receive buffer of a connection, which the
	// kernel doubles. Zero leaves the size to the kernel.
	ReceiveBuffer Bytes
}

// BudgetFor returns the budget of a process with the given memory and number of
// descriptors. Zero means that the settings name no limit.
func BudgetFor(memory Bytes, descriptors int) Budget {
	b := Budget{Bytes: unlimitedBudget, Connections: unlimitedConnections}
	if memory > 0 {
		b.ReceiveBuffer = receiveBuffer
		b.Bytes = max(minBudget, (memory-ownMemory)/budgetDivisor)
		b.Connections = min(b.Connections, int(b.Bytes/connectionShare/ConnectionCost))
	}
	if descriptors > 0 {
		b.Connections = min(b.Connections, (descriptors-reservedDescriptors)/descriptorShare)
	}
	b.Connections = max(minConnections, b.Connections)
	return b
}

// RuntimeMemory returns the soft limit of the Go runtime's memory for a process with the
// given memory, 0 if that is not limited.
func RuntimeMemory(memory Bytes) Bytes { return memory * runtimeShare / percent }
