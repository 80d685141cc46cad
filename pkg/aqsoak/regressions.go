package aqsoak

// Regression is a seed that has failed, with its cause.
type Regression struct {
	Seed  int64
	Cause string
}

// Regressions lists every seed that has ever failed.
var Regressions = []Regression{
	{Seed: 3, Cause: "a stand-in worker carried out an order of an earlier life after its restart"},
	{Seed: 4, Cause: "a reload signal during the start ended the process"},
	{Seed: 9, Cause: "an outgoing connection took the port of a process that was away"},
	{Seed: 14, Cause: "calls that a link held up reached the next life of a stand-in worker, whose connections had not ended"},
	{Seed: 18, Cause: "orders to stop were dropped when the worker's agent heard of its restart after the leader"},
	{Seed: 323, Cause: "a paused agent took polls that came late for a permit to go on"},
}
