package aqtype

import "fmt"

// MilliCPU counts thousandths of a processor core.
type MilliCPU int64

// MebiBytes counts memory in units of 2^20 bytes.
type MebiBytes int64

// Resources is the amount of each resource that a host has or a task reserves.
type Resources struct {
	MilliCPU     MilliCPU
	Memory       MebiBytes
	Accelerators int64
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU + o.MilliCPU,
		Memory:       r.Memory + o.Memory,
		Accelerators: r.Accelerators + o.Accelerators,
	}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU - o.MilliCPU,
		Memory:       r.Memory - o.Memory,
		Accelerators: r.Accelerators - o.Accelerators,
	}
}

// Fits reports whether r is at most o in every resource.
func (r Resources) Fits(o Resources) bool {
	return r.MilliCPU <= o.MilliCPU && r.Memory <= o.Memory && r.Accelerators <= o.Accelerators
}

// Percent returns p percent of r, rounded toward zero.
func (r Resources) Percent(p int) Resources {
	return Resources{
		MilliCPU:     r.MilliCPU * MilliCPU(p) / 100,
		Memory:       r.Memory * MebiBytes(p) / 100,
		Accelerators: r.Accelerators * int64(p) / 100,
	}
}

// Max returns the larger of r and o in every resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{
		MilliCPU:     max(r.MilliCPU, o.MilliCPU),
		Memory:       max(r.Memory, o.Memory),
		Accelerators: max(r.Accelerators, o.Accelerators),
	}
}

// Min returns the smaller of r and o in every resource.
func (r Resources) Min(o Resources) Resources {
	return Resources{
		MilliCPU:     min(r.MilliCPU, o.MilliCPU),
		Memory:       min(r.Memory, o.Memory),
		Accelerators: min(r.Accelerators, o.Accelerators),
	}
}

// String formats the amount for logs and tables.
func (r Resources) String() string {
	return fmt.Sprintf("%dm/%dMi/%d", r.MilliCPU, r.Memory, r.Accelerators)
}
