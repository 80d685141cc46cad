package aqsoak

// Regression is a seed that has failed, with its cause.
type Regression struct {
	Seed int64
	// DelayAcrossRestarts is set for a seed that has failed with this option.
	DelayAcrossRestarts bool
	// Evacuations is set for a seed that has failed with this option.
	Evacuations bool
	// Cancellations is set for a seed that has failed with this option.
	Cancellations bool
	Cause         string
}

// Regressions lists every seed that has ever failed.
var Regressions = []Regression{
	{Seed: 3, Cause: "a fake worker executed an order of an earlier incarnation after its restart"},
	{Seed: 4, Cause: "a reload signal during start-up ended the process"},
	{Seed: 9, Cause: "an outgoing connection took the port of a process that was down"},
	{Seed: 14, Cause: "calls on a stalled link reached the next incarnation of a fake worker, because its connections were not closed on the crash"},
	{Seed: 18, Cause: "stop orders were dropped when the worker's agent learned of its restart after the leader"},
	{Seed: 323, Cause: "a paused agent counted delayed polls as a permit to continue"},
	{Seed: 7002, Cause: "a fake worker executed a start that was on its way when the worker crashed, and never ended the run"},
	{Seed: 9200, Cause: "a reload signal before main ended the process, or one before the program had begun"},
	{Seed: 41003, DelayAcrossRestarts: true, Cause: "the next incarnation of a worker accepted starts that were delayed on their way to the earlier one (issue 41, 66ac7a2)"},
	{Seed: 60003, Cancellations: true, Cause: "a leader whose watch was silent and that was told of no cancellation started tasks of a cancelled job (issue 60, 8c26f98)"},
	{Seed: 60105, Cancellations: true, Cause: "the same; the leader acknowledged the cancellation itself (issue 60, 8c26f98)"},
}
