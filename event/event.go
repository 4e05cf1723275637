package event

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
)

// ID is the number of a log event, logged as FE followed by three digits.
type ID int

// Events of the daemon's life cycle.
const (
	Started ID = 101 + iota
	Ready
	Draining
	Ended
	Reloaded
	LinesDropped
	SettingsRefused
	AcceptFailed
)

// Events of changes.
const (
	Proposed ID = 201 + iota
	Staged
	Refused
	Accepted
	Activated
	InForce
	TakenOver
	ContentFetched
	SubmissionRefused
	CannotStage
	RefusalRounds
)

// Events of membership and workers.
const (
	InstanceChanged ID = 301 + iota
	InstanceSuspected
	InstanceDead
	WorkerAnnounced
	WorkerLost
	RosterWritten
	RefutedSuspicion
	AnnouncementRefused
	RequestSuspected
	RequestCleared
	WorkerFound
	WorkerSilent
	AnnouncementDoubted
	Panicked
	WorkerNoticed
	WorkerUnready
	ReportOutdated
)

// Events of the connection to the platform.
const (
	PlatformLost ID = 401 + iota
	PlatformBack
	WatchStarted
	WatchEnded
	AuditFailed
	ConfigUnreadable
	ConfigFault
	ObjectUnreadable
	StoreRestored
	ConfigOlder
)

// Events of calls.
const (
	Answered ID = 501 + iota
	Failed
	ConnectionCut
	Abandoned
	FaultyAnswer
)

// Events of quotas.
const (
	QuotaShort ID = 601 + iota
	QuotaFree
	QuotaIsolated
	QuotaConnected
	QuotaAggregator
)

// Entry is one row of the catalogue of events.
type Entry struct {
	ID      ID
	Name    string
	Level   slog.Level
	Meaning string
}

// catalogue lists every event in ascending order of its number. It must not be
// modified.
var catalogue = []Entry{
	{Started, "Started", slog.LevelInfo, "The daemon started with these settings."},
	{Ready, "Ready", slog.LevelInfo, "The daemon has a configuration and takes calls."},
	{Draining, "Draining", slog.LevelInfo, "The daemon is leaving: no new work, requests in flight finish."},
	{Ended, "Ended", slog.LevelInfo, "The daemon has ended."},
	{Reloaded, "Reloaded", slog.LevelInfo, "The settings file has changed; the settings that can change at run time are applied."},
	{LinesDropped, "LinesDropped", slog.LevelWarn, "Log lines came faster than they could be written and were dropped."},
	{SettingsRefused, "SettingsRefused", slog.LevelWarn, "The changed settings are invalid; the daemon keeps the previous ones."},
	{AcceptFailed, "AcceptFailed", slog.LevelWarn, "Connections could not be accepted, mostly because no descriptor was free; Failures is their number at this address since the line before, Closed the number of idle connections that were closed to free descriptors."},
	{Proposed, "Proposed", slog.LevelInfo, "A change was proposed and is being staged."},
	{Staged, "Staged", slog.LevelInfo, "This instance compiled a proposed configuration."},
	{Refused, "Refused", slog.LevelWarn, "A proposed change was refused; nothing changed."},
	{Accepted, "Accepted", slog.LevelInfo, "A change was accepted."},
	{Activated, "Activated", slog.LevelInfo, "This instance serves a newer version; Newest is the newest that it knows of, Missing for how long it has known of one whose content was not here."},
	{InForce, "InForce", slog.LevelInfo, "Every live instance serves the accepted version."},
	{TakenOver, "TakenOver", slog.LevelWarn, "This daemon finishes a change whose coordinator is gone."},
	{ContentFetched, "ContentFetched", slog.LevelDebug, "A content was fetched by its hash."},
	{SubmissionRefused, "SubmissionRefused", slog.LevelWarn, "A submission was refused before it was proposed."},
	{CannotStage, "CannotStage", slog.LevelWarn, "This instance cannot serve a configuration, and refuses to stage it."},
	{RefusalRounds, "RefusalRounds", slog.LevelInfo, "How long each delivery of a refused proposal took, and which instances are behind."},
	{InstanceChanged, "InstanceChanged", slog.LevelDebug, "An instance announced another state."},
	{InstanceSuspected, "InstanceSuspected", slog.LevelInfo, "An instance did not answer a probe."},
	{InstanceDead, "InstanceDead", slog.LevelWarn, "A suspected instance did not refute the suspicion in time."},
	{WorkerAnnounced, "WorkerAnnounced", slog.LevelInfo, "The worker beside the daemon announced another state."},
	{WorkerLost, "WorkerLost", slog.LevelWarn, "The worker's announcements lapsed."},
	{RosterWritten, "RosterWritten", slog.LevelDebug, "The roster of the site was written."},
	{RefutedSuspicion, "RefutedSuspicion", slog.LevelInfo, "This daemon was suspected and refuted it."},
	{AnnouncementRefused, "AnnouncementRefused", slog.LevelWarn, "A worker's announcement is older than what is known."},
	{RequestSuspected, "RequestSuspected", slog.LevelWarn, "The worker of this daemon, or of another one, crashed while it ran the request."},
	{RequestCleared, "RequestCleared", slog.LevelInfo, "A worker answered a request that was suspected of crashing workers."},
	{WorkerFound, "WorkerFound", slog.LevelInfo, "The worker answered after the daemon's start, before its announcement."},
	{WorkerSilent, "WorkerSilent", slog.LevelInfo, "The worker did not answer after the daemon's start; the daemon waits for its announcement."},
	{AnnouncementDoubted, "AnnouncementDoubted", slog.LevelInfo, "An announcement of a start of the worker that is not known, or has announced that it leaves, is held until the worker confirms it in a health check."},
	{Panicked, "Panicked", slog.LevelError, "A task or the handling of a message panicked; the daemon continues without it."},
	{WorkerNoticed, "WorkerNoticed", slog.LevelInfo, "The worker states another rate limit in its answers, or that it is leaving; Sent is the number of requests that it got in Period, since the notice before."},
	{WorkerUnready, "WorkerUnready", slog.LevelInfo, "The worker answered a health check that it is not ready, or another start of it answered (Answered is its ID); the announcement held, if any, is dropped."},
	{ReportOutdated, "ReportOutdated", slog.LevelInfo, "The worker takes no connection, or another one has its address, but another start of it has announced itself since; the report is ignored."},
	{PlatformLost, "PlatformLost", slog.LevelWarn, "The platform does not answer; the daemon keeps serving the configuration in force."},
	{PlatformBack, "PlatformBack", slog.LevelInfo, "The platform answers again."},
	{WatchStarted, "WatchStarted", slog.LevelDebug, "This daemon watches the platform for its site."},
	{WatchEnded, "WatchEnded", slog.LevelDebug, "The watch of the platform ended."},
	{AuditFailed, "AuditFailed", slog.LevelWarn, "An audit record could not be written."},
	{ConfigUnreadable, "ConfigUnreadable", slog.LevelWarn, "The platform's configuration cannot be read; the daemon keeps serving the configuration in force."},
	{ConfigFault, "ConfigFault", slog.LevelWarn, "A route, service or client account of the platform's configuration is invalid; the others are served."},
	{ObjectUnreadable, "ObjectUnreadable", slog.LevelWarn, "An object of the daemons on the platform cannot be read, as one of another writer; it is ignored. Logged once for each of its versions."},
	{StoreRestored, "StoreRestored", slog.LevelWarn, "The platform's store has begun another era: it was restored from a copy and may have lost its last writes; the daemons write their own objects again. With LastEra above Era, an earlier answer had named an odd era, which the daemon has given up."},
	{ConfigOlder, "ConfigOlder", slog.LevelWarn, "The platform's configuration is older than the one in force, as after FE409, or has the number of that one with another content; the daemon keeps serving the one in force. Logged once for each version of the object."},
	{Answered, "Answered", slog.LevelInfo, "A call got the worker's answer."},
	{Failed, "Failed", slog.LevelInfo, "A call got no answer from a worker; code, outcome and text give the reason; Stage and InStage say where it ended and how long it was there, Took is counted from when it was read."},
	{ConnectionCut, "ConnectionCut", slog.LevelWarn, "A caller's connection ended under a request that was read and not answered completely, and the caller had not left."},
	{Abandoned, "Abandoned", slog.LevelInfo, "The daemon that forwarded a request to this one gave it up; Stage, InStage and Took are as in FE502. Bounded by the limit of log lines about calls."},
	{FaultyAnswer, "FaultyAnswer", slog.LevelWarn, "The worker beside this daemon did not answer a request, or not whole, or with bytes that are no answer to it; Text says why. A retry may have been answered. Bounded by the limit of log lines about calls."},
	{QuotaShort, "QuotaShort", slog.LevelInfo, "The callers of a client account send more than its quota has room for; each daemon admits a share of the requests. Demand is in requests per second at all daemons, Level the tokens of the quota. Logged by the aggregators."},
	{QuotaFree, "QuotaFree", slog.LevelInfo, "The quota of a client account has room for all its requests again."},
	{QuotaIsolated, "QuotaIsolated", slog.LevelWarn, "No aggregator answers this daemon; it admits its own part of each quota, one in Known."},
	{QuotaConnected, "QuotaConnected", slog.LevelInfo, "An aggregator answers this daemon again; it admits by the shares of the fleet."},
	{QuotaAggregator, "QuotaAggregator", slog.LevelInfo, "This daemon reports the counts of its client accounts to another aggregator."},
}

// Catalogue returns every event in ascending order.
func Catalogue() []Entry { return slices.Clone(catalogue) }

// Log writes the event i to l with its number, name and level, and the
// attributes a. It does nothing if l is nil or the catalogue does not list i.
func Log(x context.Context, l *slog.Logger, i ID, a ...slog.Attr) {
	if l == nil {
		return
	}
	for _, e := range catalogue {
		if e.ID == i {
			a = append([]slog.Attr{slog.String("Event", fmt.Sprintf("FE%03d", int(i)))}, a...)
			l.LogAttrs(x, e.Level, e.Name, a...)
			return
		}
	}
}
