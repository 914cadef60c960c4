package hfevent

import "go.uber.org/zap/zapcore"

// The events, numbered by subject. Numbers are never reused, including those of removed
// events.
var (
	Started           = Event{100, "started", zapcore.InfoLevel, "An instance serves; its incarnation is new at every start."}
	Stopping          = Event{101, "stopping", zapcore.InfoLevel, "A planned stop began: the instance leaves and finishes its requests."}
	Stopped           = Event{102, "stopped", zapcore.InfoLevel, "The instance has ended."}
	StopForced        = Event{103, "stop-forced", zapcore.WarnLevel, "Requests were still running at the stop deadline."}
	InvariantViolated = Event{104, "invariant-lost", zapcore.ErrorLevel, "A decision violated an invariant; report it with the fields."}
	CallPanicked      = Event{105, "call-panicked", zapcore.ErrorLevel, "A call or a decision failed in an unexpected way; only the call, or this instance's leadership, ended. Report it with the fields."}
	ClientsRefused    = Event{106, "clients-refused", zapcore.WarnLevel, "Clients were refused or let go because of what they held or how slow they were; the fields count them by reason since the last line, at most one every 10 s for a listener."}

	PeerUp         = Event{200, "peer-up", zapcore.InfoLevel, "Another instance was heard under a new incarnation."}
	PeerSuspect    = Event{201, "peer-suspect", zapcore.WarnLevel, "An instance was not heard for the suspicion time; its work moves to other instances."}
	PeerGone       = Event{202, "peer-gone", zapcore.InfoLevel, "An instance left or was dropped from the list."}
	ListFailed     = Event{203, "list-failed", zapcore.WarnLevel, "The membership list could not be fetched; the last one stays in use."}
	MessageUnknown = Event{204, "message-unknown", zapcore.WarnLevel, "A message of a kind that this version does not know was refused."}
	SelfPaused     = Event{205, "self-paused", zapcore.WarnLevel, "The process did not run for a while; leases and suspicions are checked again."}
	MemberRejected = Event{206, "member-rejected", zapcore.WarnLevel, "A row of the membership list is invalid; the last valid one of its name stays in use. Logged once until the reason changes."}

	ConfigApplied  = Event{300, "config-applied", zapcore.InfoLevel, "A newer revision of a resource is in force here."}
	ConfigRejected = Event{301, "config-rejected", zapcore.ErrorLevel, "A stored resource cannot be read; its last good revision stays in force."}
	StoreReverted  = Event{302, "store-older", zapcore.ErrorLevel, "The store shows an older state than the one in force; writes are refused."}
	StoreDown      = Event{303, "store-down", zapcore.WarnLevel, "The store gives no answer; the configuration in force stays."}
	StoreRelayed   = Event{306, "store-relayed", zapcore.WarnLevel, "The store does not answer this instance; its calls go through other instances."}
	StoreDirect    = Event{307, "store-direct", zapcore.InfoLevel, "The store answers this instance again."}
	StoreUp        = Event{304, "store-up", zapcore.InfoLevel, "The store answers again."}
	ConfigAccepted = Event{305, "config-accepted", zapcore.InfoLevel, "A change by an operator is stored."}

	MergeStep   = Event{400, "merge-step", zapcore.InfoLevel, "One step of an account merge is stored."}
	MergeDone   = Event{401, "merge-done", zapcore.InfoLevel, "An account merge is complete."}
	MergeFailed = Event{402, "merge-failed", zapcore.WarnLevel, "A step of an account merge failed and will be tried again."}

	LedgerUnavailable = Event{502, "ledger-waits", zapcore.WarnLevel, "Request ids cannot be recorded; non-idempotent requests with ids are refused."}

	EndpointLeaving = Event{600, "endpoint-leaving", zapcore.InfoLevel, "An endpoint leaves and gets no new work."}
	EndpointOpen    = Event{601, "endpoint-open", zapcore.WarnLevel, "An endpoint failed too often and gets one probe at a time."}
	EndpointClosed  = Event{602, "endpoint-closed", zapcore.InfoLevel, "An endpoint's probe succeeded."}
	EndpointDown    = Event{603, "endpoint-down", zapcore.WarnLevel, "An endpoint's health page gave no answer."}

	LeaderElected     = Event{700, "leader-elected", zapcore.InfoLevel, "This instance places the jobs of a failure domain."}
	LeaderLost        = Event{701, "leader-lost", zapcore.WarnLevel, "This instance no longer places the jobs of a failure domain."}
	TakeoverRetry     = Event{703, "takeover-retry", zapcore.WarnLevel, "The stored records of a failure domain could not be loaded yet."}
	JobChanged        = Event{705, "job-changed", zapcore.InfoLevel, "A job entered a new state."}
	WorkerQuarantined = Event{706, "worker-aside", zapcore.WarnLevel, "A worker failed tasks of several jobs, or its runs make no progress; it is quarantined."}
	WorkerRestored    = Event{707, "worker-back", zapcore.InfoLevel, "A quarantined worker completed a job on probe and takes work again."}

	WorkerLost     = Event{750, "worker-lost", zapcore.WarnLevel, "A worker gave no report for the loss time."}
	GangPartial    = Event{752, "gang-partial", zapcore.WarnLevel, "Members of a gang are missing; the leases of the rest are no longer renewed."}
	RenewalPaused  = Event{753, "renewal-paused", zapcore.WarnLevel, "This instance renews no leases of a failure domain: for 12 s it had no answer from the domain's leader, nor, if there is none, from every other instance."}
	RenewalResumed = Event{754, "renewal-resumed", zapcore.InfoLevel, "This instance renews the leases of a failure domain again."}

	JobAccepted       = Event{800, "job-accepted", zapcore.InfoLevel, "A job is stored; its caller was told so."}
	JobRefused        = Event{801, "job-refused", zapcore.InfoLevel, "A call about a job was not carried out; the fields give the reason."}
	JobCancelled      = Event{802, "job-cancelled", zapcore.InfoLevel, "The cancellation of a job is stored."}
	JobUnknown        = Event{803, "job-unknown", zapcore.WarnLevel, "The effect of a call about a job is not known; its caller was told so."}
	JobState          = Event{804, "job-state", zapcore.InfoLevel, "A job entered a state."}
	TasksPlaced       = Event{805, "tasks-placed", zapcore.InfoLevel, "Tasks of a step got their workers."}
	TasksPreempted    = Event{806, "tasks-preempted", zapcore.InfoLevel, "Runs are stopped for more urgent work; with the core-seconds that are done again (`thrown`)."}
	TaskRetried       = Event{807, "task-retried", zapcore.InfoLevel, "A run ended early and its task waits again."}
	OrderFailed       = Event{808, "order-failed", zapcore.WarnLevel, "A worker refused an order or gave no answer."}
	PlanRecovered     = Event{809, "plan-settled", zapcore.InfoLevel, "Every run that earlier schedulers may have started is accounted for."}
	WorkerSilent      = Event{810, "worker-silent", zapcore.WarnLevel, "A worker stopped reporting; its leases are left to expire."}
	WorkerReporting   = Event{811, "worker-heard", zapcore.InfoLevel, "A worker reports again, or was restarted."}
	WorkerRemoved     = Event{812, "worker-dropped", zapcore.InfoLevel, "A worker runs nothing and is no longer followed: it has left, its leases have expired, or another worker answers at its address."}
	EntryRejected     = Event{813, "entry-rejected", zapcore.WarnLevel, "A stored entry or a part of it cannot be read; the last good one stays in force, and a worker's entry names no worker. Logged once until the reason changes."}
	PolicyApplied     = Event{814, "policy-applied", zapcore.InfoLevel, "A newer configuration of the queues is in force here."}
	MirrorReset       = Event{815, "mirror-reset", zapcore.InfoLevel, "The local copy of the store was reloaded in full."}
	SettingsRead      = Event{816, "settings-read", zapcore.InfoLevel, "The settings file was read again."}
	SettingsInvalid   = Event{817, "settings-bad", zapcore.ErrorLevel, "The settings file cannot be used; the settings in force stay."}
	LinesDropped      = Event{818, "lines-dropped", zapcore.WarnLevel, "The reader of the log was too slow; lines were dropped."}
	PlanLoad          = Event{819, "plan-load", zapcore.InfoLevel, "Waiting and running tasks, the steps that others are put before (`delayed`) and free resources at the scheduling instance, those of them that no waiting task fits (`stranded`: accelerators, cores, MB), workers known to be slow, and the bytes it has sent and received by purpose (`store`, `orders`, `polls`), once a second."}
	HintsUnavailable  = Event{820, "hints-deaf", zapcore.ErrorLevel, "Other instances can no longer send hints about stored items to this one; it learns of them from its watch."}
	AnnounceFailed    = Event{821, "announce-failed", zapcore.WarnLevel, "The entry with this instance's address could not be written; the write is retried."}
	LeaseRevoked      = Event{822, "lease-ended", zapcore.InfoLevel, "The scheduling lease of an earlier process of this instance was revoked, or the attempt failed."}
	LeaseState        = Event{823, "lease-state", zapcore.InfoLevel, "A worker stopped answering, or answers again; the fields hold the latest lease that was granted to it and the clock from which that lease was calculated."}
	EndLate           = Event{824, "end-late", zapcore.WarnLevel, "A worker reported the end of a run after the run was given up; the fields tell which run the task has now."}
	DetailsLoaded     = Event{825, "details-loaded", zapcore.InfoLevel, "A new scheduling instance has read where tasks run and which workers may run them."}
	RecordRejected    = Event{826, "record-rejected", zapcore.ErrorLevel, "The store does not accept a record as it is; it is not written again until it changes. A worker whose record it is gets no tasks, a job ends as failed."}
	JobWithdrawn      = Event{827, "job-withdrawn", zapcore.InfoLevel, "A job that is not stored was cancelled; it never runs, also if its submission is still under way."}
	AccountsNotStored = Event{828, "accounts-not-stored", zapcore.WarnLevel, "The history of the client accounts could not be written; the write is retried."}
	WorkerCrashed     = Event{830, "worker-crashed", zapcore.WarnLevel, "A worker crashed under runs; the fields name the tasks that had just been started there, and tell whether one task or gang was alone."}
	TaskIsolated      = Event{831, "task-isolated", zapcore.InfoLevel, "A worker crashed under a task before; it got a worker on which no other task is placed."}
	TaskGivenUp       = Event{832, "task-given-up", zapcore.WarnLevel, "Workers crashed under a task as often as they may; its job has failed."}
	PolicyConfirmed   = Event{833, "policy-confirmed", zapcore.WarnLevel, "The configuration of the queues was confirmed again after it had not been for longer than is allowed; the fields tell how old it was and which call confirmed it."}
	JobDeferred       = Event{834, "job-deferred", zapcore.WarnLevel, "Occurrences of a job are due, but the scheduling instance has no memory for their tasks now; they run once other tasks have ended."}
	LeaderSuspended   = Event{835, "leader-suspended", zapcore.WarnLevel, "The store does not answer the scheduling instance and its lease may have expired; it keeps its state, looks at workers and sends no orders."}
	LeaderResumed     = Event{836, "leader-resumed", zapcore.InfoLevel, "The scheduling instance leads again after the store was away; the fields tell the epoch and whether the earlier lease had lived on. Nothing is started before event 837."}
	EndsShown         = Event{838, "ends-shown", zapcore.InfoLevel, "Jobs have completed, which could not be stored; instances were told, and show it if each failure domain knows. Workers keep these ends until they are stored."}
	EndsTakenOver     = Event{839, "ends-taken-over", zapcore.WarnLevel, "A new scheduling instance takes jobs as completed that an earlier one had told other instances of before that was stored."}
	LeaderCaughtUp    = Event{837, "leader-caught-up", zapcore.InfoLevel, "The scheduling instance has read what was written while its leadership was suspended, and starts tasks again."}
	WorkerSuspected   = Event{840, "worker-suspected", zapcore.InfoLevel, "A task failed on a worker soon after its start; until a later run goes well there, only tasks with attempts to spare are tried on it, one at a time."}
	WorkerProved      = Event{841, "worker-proved", zapcore.InfoLevel, "A run that was started on a suspected worker after its last failure went well; it takes work like the others."}
	WorkerTried       = Event{842, "worker-tried", zapcore.InfoLevel, "A task with attempts to spare was placed on a suspected worker to try it."}
	ProofAwaited      = Event{843, "proof-awaited", zapcore.InfoLevel, "Tasks with one attempt left wait for a limited time, as only workers that may be bad have room."}
	JobAtFault        = Event{844, "job-at-fault", zapcore.WarnLevel, "The tasks of a step fail on more workers than they run well on; its failures no longer count against workers."}
	SuspectsSpared    = Event{845, "suspects-spared", zapcore.WarnLevel, "More workers of a pool seem to be bad than may be kept off work; the rest are used like the others. Logged when that begins."}
)

// Catalogue returns every event.
func Catalogue() []Event {
	return []Event{
		Started, Stopping, Stopped, StopForced, InvariantViolated, CallPanicked, ClientsRefused,
		PeerUp, PeerSuspect, PeerGone, ListFailed, MessageUnknown, SelfPaused, MemberRejected,
		ConfigApplied, ConfigRejected, StoreReverted, StoreDown, StoreUp, ConfigAccepted, StoreRelayed, StoreDirect,
		MergeStep, MergeDone, MergeFailed,
		LedgerUnavailable,
		EndpointLeaving, EndpointOpen, EndpointClosed, EndpointDown,
		LeaderElected, LeaderLost, TakeoverRetry, JobChanged, WorkerQuarantined, WorkerRestored,
		WorkerLost, GangPartial, RenewalPaused, RenewalResumed,
		JobAccepted, JobRefused, JobCancelled, JobUnknown, JobState, TasksPlaced, TasksPreempted, TaskRetried,
		OrderFailed, PlanRecovered, WorkerSilent, WorkerReporting, WorkerRemoved, EntryRejected, PolicyApplied, MirrorReset,
		SettingsRead, SettingsInvalid, LinesDropped, PlanLoad, HintsUnavailable, AnnounceFailed, LeaseRevoked,
		LeaseState, EndLate, DetailsLoaded, RecordRejected, JobWithdrawn, AccountsNotStored, WorkerCrashed, TaskIsolated, TaskGivenUp, PolicyConfirmed, JobDeferred,
		LeaderSuspended, LeaderResumed, LeaderCaughtUp, EndsShown, EndsTakenOver,
		WorkerSuspected, WorkerProved, WorkerTried, ProofAwaited, JobAtFault, SuspectsSpared,
	}
}
