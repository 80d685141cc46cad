package aqlog

import "log/slog"

// The events. docs/EVENTS.md is generated from this list.
var (
	ProcessStarted    = Event{Number: 100, Layer: LayerProcess, Level: slog.LevelInfo, Message: "process started", Meaning: "The process has read its settings and listens."}
	ProcessStopping   = Event{Number: 101, Layer: LayerProcess, Level: slog.LevelInfo, Message: "graceful shutdown begun", Meaning: "A stop signal came. Nothing new is taken; what is in progress is finished."}
	ProcessStopped    = Event{Number: 102, Layer: LayerProcess, Level: slog.LevelInfo, Message: "graceful shutdown done", Meaning: "The attribute Took says how long the shutdown lasted."}
	TLSOff            = Event{Number: 103, Layer: LayerProcess, Level: slog.LevelWarn, Message: "TLS is off by setting", Meaning: "Operators' and peers' ports are unprotected. Allowed on a trusted network only."}
	MemberJoined      = Event{Number: 200, Layer: LayerMember, Level: slog.LevelInfo, Message: "member joined", Meaning: "Another process registered with a lease in the platform's store."}
	MemberLeft        = Event{Number: 201, Layer: LayerMember, Level: slog.LevelInfo, Message: "member left", Meaning: "A process's lease ended. Its shards are taken by the others."}
	LeaseLost         = Event{Number: 202, Layer: LayerMember, Level: slog.LevelWarn, Message: "own lease lost", Meaning: "The store ended this process's lease; it registers anew. Frequent occurrences mean pauses or a slow store."}
	StoreUnavailable  = Event{Number: 203, Layer: LayerMember, Level: slog.LevelWarn, Message: "platform store does not answer", Meaning: "Work that runs goes on; new starts wait. Check the platform's store."}
	StoreBack         = Event{Number: 204, Layer: LayerMember, Level: slog.LevelInfo, Message: "platform store answers again", Meaning: "Owners prove their ownership before anything else."}
	SegmentInDoubt    = Event{Number: 300, Layer: LayerJournal, Level: slog.LevelWarn, Message: "segment in doubt", Meaning: "The answer to a journal write was lost. The same segment is written again until the outcome is known."}
	OwnershipLost     = Event{Number: 301, Layer: LayerJournal, Level: slog.LevelWarn, Message: "shard ownership lost", Meaning: "Another process committed a higher epoch. This one drops the shard."}
	ShardTaken        = Event{Number: 302, Layer: LayerJournal, Level: slog.LevelInfo, Message: "shard taken over", Meaning: "This process recovered the shard's journal and committed its epoch."}
	ShardReleased     = Event{Number: 303, Layer: LayerJournal, Level: slog.LevelInfo, Message: "shard released", Meaning: "The shard was handed over in a planned stop or a rebalance."}
	SnapshotWritten   = Event{Number: 304, Layer: LayerJournal, Level: slog.LevelDebug, Message: "snapshot written", Meaning: "The journal before it is no longer needed for recovery."}
	TakeoverFailed    = Event{Number: 305, Layer: LayerJournal, Level: slog.LevelWarn, Message: "takeover failed", Meaning: "The shard could not be read or its epoch not committed. It is tried again."}
	SessionOpened     = Event{Number: 400, Layer: LayerSession, Level: slog.LevelInfo, Message: "worker session opened", Meaning: "The worker accepted this owner's epoch and said what runs on it."}
	SessionFailed     = Event{Number: 401, Layer: LayerSession, Level: slog.LevelWarn, Message: "worker session failed", Meaning: "The worker does not answer or refused the session. Nothing is started there meanwhile."}
	WorkerGone        = Event{Number: 402, Layer: LayerSession, Level: slog.LevelWarn, Message: "worker declared stopped", Meaning: "The platform dropped the host or its session can no longer be live. Its tasks are queued again."}
	StartRefused      = Event{Number: 403, Layer: LayerSession, Level: slog.LevelWarn, Message: "worker refused a start", Meaning: "The worker has less room than the reservations say, for example because of the older scheduler."}
	JobAccepted       = Event{Number: 500, Layer: LayerScheduler, Level: slog.LevelInfo, Message: "workload accepted", Meaning: "The workload is committed in the journal."}
	TaskEvicted       = Event{Number: 501, Layer: LayerScheduler, Level: slog.LevelInfo, Message: "task evicted", Meaning: "The task is stopped to make room and resumes from its checkpoint."}
	TaskGivenUp       = Event{Number: 502, Layer: LayerScheduler, Level: slog.LevelWarn, Message: "task given up", Meaning: "The task failed as often as its job allows."}
	WorkerOnProbation = Event{Number: 503, Layer: LayerScheduler, Level: slog.LevelWarn, Message: "worker on probation", Meaning: "Tasks of several workloads failed there and not elsewhere. One task at a time is tried on it."}
	RequestUnknown    = Event{Number: 600, Layer: LayerGateway, Level: slog.LevelWarn, Message: "request outcome unknown", Meaning: "The request left for an endpoint and no whole answer came. It was not repeated."}
	EndpointSuspect   = Event{Number: 601, Layer: LayerGateway, Level: slog.LevelWarn, Message: "endpoint avoided", Meaning: "The endpoint failed or went silent. A probe on a new connection decides when it is used again."}
	PeerFrameBad      = Event{Number: 700, Layer: LayerPeer, Level: slog.LevelWarn, Message: "peer frame not decodable", Meaning: "The connection was closed. Look for a version mismatch."}
	ConfigInForce     = Event{Number: 800, Layer: LayerConfig, Level: slog.LevelInfo, Message: "configuration in force", Meaning: "This process uses the revision in the attribute Revision."}
	ConfigRefused     = Event{Number: 801, Layer: LayerConfig, Level: slog.LevelWarn, Message: "configuration refused", Meaning: "A value in the store did not pass the checks and was not taken."}
)

// Events lists every event in order of number.
var Events = []Event{
	ProcessStarted, ProcessStopping, ProcessStopped, TLSOff,
	MemberJoined, MemberLeft, LeaseLost, StoreUnavailable, StoreBack,
	SegmentInDoubt, OwnershipLost, ShardTaken, ShardReleased, SnapshotWritten, TakeoverFailed,
	SessionOpened, SessionFailed, WorkerGone, StartRefused,
	JobAccepted, TaskEvicted, TaskGivenUp, WorkerOnProbation,
	RequestUnknown, EndpointSuspect, PeerFrameBad, ConfigInForce, ConfigRefused,
}
