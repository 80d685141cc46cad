// Package aqmetric holds the counters, gauges and latency histograms that a process
// exports. Every refusal and every retry has a reason, and every reason its own counter.
package aqmetric

import (
	"fmt"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// RefusalReason says why work was refused without being run.
type RefusalReason string

// The refusal reasons.
const (
	RefusedBadRequest     RefusalReason = "BadRequest"
	RefusedNoService      RefusalReason = "NoService"
	RefusedNoEndpoint     RefusalReason = "NoEndpoint"
	RefusedQueueFull      RefusalReason = "QueueFull"
	RefusedDeadline       RefusalReason = "DeadlineUnreachable"
	RefusedConnect        RefusalReason = "ConnectFailed"
	RefusedStopping       RefusalReason = "Stopping"
	RefusedTooLarge       RefusalReason = "TooLarge"
	RefusedNotOwner       RefusalReason = "NotOwner"
	RefusedNoOwner        RefusalReason = "NoOwner"
	RefusedKeyConflict    RefusalReason = "KeyConflict"
	RefusedShardFull      RefusalReason = "ShardFull"
	RefusedQuota          RefusalReason = "QuotaExceeded"
	RefusedStoreDown      RefusalReason = "StoreDown"
	RefusedConfigRace     RefusalReason = "ConfigurationChanged"
	RefusedConfigInvalid  RefusalReason = "ConfigurationInvalid"
	RefusedKeyUsed        RefusalReason = "KeyUsed"
	RefusedFrameTooLarge  RefusalReason = "FrameTooLarge"
	RefusedFrameMalformed RefusalReason = "FrameMalformed"
	RefusedNoQueue        RefusalReason = "NoQueue"
	RefusedNoConfig       RefusalReason = "NoConfiguration"
	RefusedNoJob          RefusalReason = "NoJob"
	RefusedMethod         RefusalReason = "MethodNotAllowed"
	RefusedNoLeader       RefusalReason = "NoLeader"
	RefusedEntry          RefusalReason = "StoredEntryInvalid"
	RefusedBacklog        RefusalReason = "Backlog"
	RefusedConnections    RefusalReason = "ConnectionsFull"
	RefusedAddress        RefusalReason = "AddressConnectionsFull"
	RefusedHeadTooLarge   RefusalReason = "HeadTooLarge"
	RefusedHeadSlow       RefusalReason = "HeadSlow"
	RefusedBodySlow       RefusalReason = "BodySlow"
	RefusedIntakeFull     RefusalReason = "IntakeFull"
	RefusedWorking        RefusalReason = "WorkingFull"
	RefusedJobsFull       RefusalReason = "JobsFull"
	RefusedPeers          RefusalReason = "PeerConnectionsFull"
	RefusedPeerBudget     RefusalReason = "PeerBudgetFull"
)

// RefusalReasons lists every refusal reason.
var RefusalReasons = []RefusalReason{
	RefusedBadRequest, RefusedNoService, RefusedNoEndpoint, RefusedQueueFull, RefusedDeadline, RefusedConnect,
	RefusedStopping, RefusedTooLarge, RefusedNotOwner, RefusedNoOwner, RefusedKeyConflict, RefusedShardFull,
	RefusedQuota, RefusedStoreDown, RefusedConfigRace, RefusedConfigInvalid, RefusedKeyUsed, RefusedFrameTooLarge,
	RefusedFrameMalformed, RefusedNoQueue, RefusedNoConfig, RefusedNoJob, RefusedMethod, RefusedNoLeader, RefusedEntry, RefusedBacklog,
	RefusedConnections, RefusedAddress, RefusedHeadTooLarge, RefusedHeadSlow, RefusedBodySlow, RefusedIntakeFull, RefusedWorking,
	RefusedJobsFull, RefusedPeers, RefusedPeerBudget,
}

// RetryReason says why something was tried again.
type RetryReason string

// The retry reasons.
const (
	RetryConnect        RetryReason = "ConnectFailed"
	RetryConnectionLost RetryReason = "ConnectionLost"
	RetryEndpointBusy   RetryReason = "EndpointBusy"
	RetryNotOwner       RetryReason = "NotOwner"
	RetryPeerLost       RetryReason = "PeerLost"
	RetryInDoubt        RetryReason = "SegmentInDoubt"
	RetryStoreDown      RetryReason = "StoreDown"
	RetryStartRefused   RetryReason = "StartRefused"
	RetryTaskFailed     RetryReason = "TaskFailed"
	RetryWorkerLost     RetryReason = "WorkerLost"
	RetryBudgetSpent    RetryReason = "BudgetSpent"
	RetryStartUnknown   RetryReason = "StartUnknown"
	RetryStopLost       RetryReason = "StopLost"
	RetryOrderLost      RetryReason = "OrderUnanswered"
	RetryCommitLost     RetryReason = "CommitUnanswered"
	RetryLeaderLost     RetryReason = "LeaderLost"
	RetryWatchReset     RetryReason = "WatchReset"
	RetryAgentLost      RetryReason = "AgentLost"
	RetryPayloadMissing RetryReason = "PayloadMissing"
	RetryReportBase     RetryReason = "ReportBaseMissing"
	RetryRecovery       RetryReason = "RecoveryRead"
	RetryOrderOutdated  RetryReason = "OrderOutdated"
	RetryZoneClosed     RetryReason = "ZoneClosed"
	RetryGaveWay        RetryReason = "GaveWay"
	RetryStartExpired   RetryReason = "StartExpired"
)

// RetryReasons lists every retry reason. BudgetSpent counts the retries that
// were not made because the budget had run out.
var RetryReasons = []RetryReason{
	RetryConnect, RetryConnectionLost, RetryEndpointBusy, RetryNotOwner, RetryPeerLost, RetryInDoubt,
	RetryStoreDown, RetryStartRefused, RetryTaskFailed, RetryWorkerLost, RetryBudgetSpent,
	RetryStartUnknown, RetryStopLost, RetryOrderLost, RetryCommitLost, RetryLeaderLost, RetryWatchReset, RetryAgentLost,
	RetryPayloadMissing, RetryReportBase, RetryRecovery, RetryOrderOutdated, RetryGaveWay, RetryZoneClosed, RetryStartExpired,
}

// RackWaitEnd says how a task's wait for a place on its rack ended.
type RackWaitEnd string

// The ends of a wait for a rack. All but Placed use another rack.
const (
	RackWaitPlaced  RackWaitEnd = "Placed"
	RackWaitNoGain  RackWaitEnd = "NoGain"
	RackWaitNoPlace RackWaitEnd = "NoPlace"
	RackWaitBound   RackWaitEnd = "Bound"
	RackWaitInTime  RackWaitEnd = "InTime"
)

// RackWaitEnds lists every end of a wait for a rack.
var RackWaitEnds = []RackWaitEnd{RackWaitPlaced, RackWaitNoGain, RackWaitNoPlace, RackWaitBound, RackWaitInTime}

// CopyDeclineReason says why a second run of a late task was not started.
type CopyDeclineReason string

// The reasons for which no copy is started. Each counts a run once, until its reason changes.
const (
	CopyInTime    CopyDeclineReason = "InTime"
	CopyNoGain    CopyDeclineReason = "NoGain"
	CopyUnhelpful CopyDeclineReason = "Unhelpful"
	CopyNoRoom    CopyDeclineReason = "NoRoom"
	CopyAtLimit   CopyDeclineReason = "AtLimit"
	CopyNoWorker  CopyDeclineReason = "NoWorker"
)

// CopyDeclineReasons lists every reason for which no copy is started.
var CopyDeclineReasons = []CopyDeclineReason{CopyInTime, CopyNoGain, CopyUnhelpful, CopyNoRoom, CopyAtLimit, CopyNoWorker}

// Counter names a counter without a reason.
type Counter string

// The counters without a reason.
const (
	RequestsAnswered  Counter = "aq_requests_answered_total"
	RequestsUnknown   Counter = "aq_requests_unknown_total"
	SegmentsCommitted Counter = "aq_segments_committed_total"
	RecordsCommitted  Counter = "aq_records_committed_total"
	TasksStarted      Counter = "aq_tasks_started_total"
	TasksFinished     Counter = "aq_tasks_finished_total"
	TasksEvicted      Counter = "aq_tasks_evicted_total"
	ShardsTaken       Counter = "aq_shards_taken_total"
	ShardsLost        Counter = "aq_shards_lost_total"
	SessionRenewals   Counter = "aq_session_renewals_total"
	PeerCalls         Counter = "aq_peer_calls_total"
	JobsAccepted      Counter = "aq_jobs_accepted_total"
	TasksEnded        Counter = "aq_tasks_ended_total"
	RunsLost          Counter = "aq_runs_lost_with_worker_total"
	JobsCrashing      Counter = "aq_jobs_crashing_workers_total"
	// GroupWaits counts the log lines about groups that wait for workers.
	GroupWaits Counter = "aq_group_waits_total"
	// WorkGivenUp counts what stops for more urgent tasks cost, as events 566 say.
	WorkGivenUp Counter = "aq_work_given_up_core_milliseconds_total"
	// ZoneMoves counts the runs that were stopped to leave an evacuated zone.
	ZoneMoves Counter = "aq_zone_moves_total"
	// RackWaits counts the groups of tasks that began to wait for a place on their rack.
	RackWaits Counter = "aq_rack_waits_total"
	// CopiesStarted counts the second runs of tasks, CopiesWon those that succeeded first, CopiesLost those
	// whose task succeeded in its first run.
	CopiesStarted Counter = "aq_copies_started_total"
	CopiesWon     Counter = "aq_copies_won_total"
	CopiesLost    Counter = "aq_copies_lost_total"
	// WorkersSlow counts how often a worker was found to be slow for a kind of work.
	WorkersSlow     Counter = "aq_workers_slow_total"
	LeadTerms       Counter = "aq_lead_terms_total"
	LogLinesDropped Counter = "aq_log_lines_dropped_total"
	PanicsContained Counter = "aq_panics_contained_total"
	// BodiesStalled counts bodies that stopped arriving after their beginning had been
	// passed on, AnswersUnread answers that clients did not read.
	BodiesStalled Counter = "aq_bodies_stalled_total"
	AnswersUnread Counter = "aq_answers_unread_total"
)

// Counters lists every counter without a reason.
var Counters = []Counter{
	RequestsAnswered, RequestsUnknown, SegmentsCommitted, RecordsCommitted, TasksStarted, TasksFinished,
	TasksEvicted, ShardsTaken, ShardsLost, SessionRenewals, PeerCalls,
	JobsAccepted, TasksEnded, RunsLost, JobsCrashing, GroupWaits, CopiesStarted, CopiesWon, CopiesLost, WorkersSlow, RackWaits, ZoneMoves, WorkGivenUp, LeadTerms, LogLinesDropped, PanicsContained, BodiesStalled, AnswersUnread,
}

// Gauge names a value that goes up and down.
type Gauge string

// The gauges.
const (
	// IntakeBytes is the memory that is reserved for requests that are being read.
	IntakeBytes Gauge = "aq_intake_reserved_bytes"
	// IntakeConnections is the number of connections of clients.
	IntakeConnections Gauge = "aq_intake_connections"
	// PeerBytes is the memory of unfinished frames, calls in progress and unread answers of peers.
	PeerBytes Gauge = "aq_peer_reserved_bytes"
)

// Gauges lists every gauge with a fixed name.
var Gauges = []Gauge{IntakeBytes, IntakeConnections, PeerBytes}

// Timing names a latency histogram, in seconds.
type Timing string

// The latency histograms.
const (
	// TimeStoreCall is the duration of one call to the store.
	TimeStoreCall Timing = "aq_store_call_seconds"
	// TimeAccept is the duration of storing an accepted submission.
	TimeAccept Timing = "aq_job_accept_seconds"
	// TimeStart is the time from when an agent begins to deliver a start to its outcome.
	TimeStart Timing = "aq_task_start_seconds"
	// TimeWait is the time from when a group could start to the placement of a task.
	TimeWait Timing = "aq_task_wait_seconds"
	// TimeCommit is the duration of storing one batch of decisions.
	TimeCommit Timing = "aq_commit_seconds"
	// TimeRound is the duration of one round of the leader's decisions.
	TimeRound Timing = "aq_round_seconds"
)

// Timings lists every latency histogram.
var Timings = []Timing{TimeStoreCall, TimeAccept, TimeStart, TimeWait, TimeCommit, TimeRound}

// Set holds the metrics of one process.
type Set struct {
	set *metrics.Set
}

// New returns a set in which every known counter exists and is zero, so that a
// reason that never occurred is exported as zero and not missing.
func New() *Set {
	s := &Set{set: metrics.NewSet()}
	for _, r := range RefusalReasons {
		s.set.GetOrCreateCounter(refusalName(r))
	}
	for _, r := range RetryReasons {
		s.set.GetOrCreateCounter(retryName(r))
	}
	for _, e := range RackWaitEnds {
		s.set.GetOrCreateCounter(rackWaitName(e))
	}
	for _, r := range CopyDeclineReasons {
		s.set.GetOrCreateCounter(copyDeclineName(r))
	}
	for _, c := range Counters {
		s.set.GetOrCreateCounter(string(c))
	}
	for _, t := range Timings {
		s.set.GetOrCreateHistogram(string(t))
	}
	return s
}

// Observe adds one duration to a latency histogram.
func (s *Set) Observe(t Timing, took time.Duration) {
	s.set.GetOrCreateHistogram(string(t)).Update(took.Seconds())
}

// Refused counts one refusal.
func (s *Set) Refused(r RefusalReason) { s.set.GetOrCreateCounter(refusalName(r)).Inc() }

// Retried counts one retry.
func (s *Set) Retried(r RetryReason) { s.set.GetOrCreateCounter(retryName(r)).Inc() }

// RackWaitEnded counts the end of one task's wait for a rack.
func (s *Set) RackWaitEnded(e RackWaitEnd) { s.set.GetOrCreateCounter(rackWaitName(e)).Inc() }

// RackWaitEndCount reads the counter of an end of waits for a rack.
func (s *Set) RackWaitEndCount(e RackWaitEnd) uint64 {
	return s.set.GetOrCreateCounter(rackWaitName(e)).Get()
}

// CopyDeclined counts one copy that was not started.
func (s *Set) CopyDeclined(r CopyDeclineReason) { s.set.GetOrCreateCounter(copyDeclineName(r)).Inc() }

// Inc adds one to a counter.
func (s *Set) Inc(c Counter) { s.Add(c, 1) }

// Add adds n to a counter.
func (s *Set) Add(c Counter, n int) { s.set.GetOrCreateCounter(string(c)).Add(n) }

// Value reads a counter.
func (s *Set) Value(c Counter) uint64 { return s.set.GetOrCreateCounter(string(c)).Get() }

// RefusedCount reads the counter of a refusal reason.
func (s *Set) RefusedCount(r RefusalReason) uint64 {
	return s.set.GetOrCreateCounter(refusalName(r)).Get()
}

// RetriedCount reads the counter of a retry reason.
func (s *Set) RetriedCount(r RetryReason) uint64 {
	return s.set.GetOrCreateCounter(retryName(r)).Get()
}

// Gauge registers a gauge whose value is computed when it is read.
func (s *Set) Gauge(name string, read func() float64) { s.set.GetOrCreateGauge(name, read) }

// Write prints every metric in the Prometheus text format.
func (s *Set) Write(w io.Writer) { s.set.WritePrometheus(w) }

func refusalName(r RefusalReason) string {
	return fmt.Sprintf("aq_refused_total{reason=%q}", string(r))
}

func rackWaitName(e RackWaitEnd) string {
	return fmt.Sprintf("aq_rack_wait_ends_total{reason=%q}", string(e))
}

func retryName(r RetryReason) string { return fmt.Sprintf("aq_retries_total{reason=%q}", string(r)) }

func copyDeclineName(r CopyDeclineReason) string {
	return fmt.Sprintf("aq_copies_declined_total{reason=%q}", string(r))
}
