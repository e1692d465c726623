package event

// The events of the catalogue. A number is never reused for another event.
var (
	Started                 = Event{1001, "started", Info, "The entry listens on its addresses."}
	Ready                   = Event{1002, "ready", Info, "The entry has a configuration and serves callers."}
	Draining                = Event{1003, "draining", Info, "The entry is shutting down; resolve responses no longer list it."}
	Stopped                 = Event{1004, "stopped", Info, "The entry stopped. If requests were still in flight, stopForced precedes it."}
	StopForced              = Event{1005, "stopForced", Failure, "The entry reached its stop timeout with requests in flight."}
	SettingsReloaded        = Event{1006, "settingsReloaded", Info, "Changed settings were applied."}
	SettingsRejected        = Event{1007, "settingsRejected", Warning, "Changed settings are invalid and were not applied."}
	AnnounceFailed          = Event{1008, "announceFailed", Warning, "The entry could not create, renew or remove its registration in the store."}
	LinesDropped            = Event{1009, "linesDropped", Warning, "Log lines were dropped to limit the log volume."}
	AcceptFailed            = Event{1010, "acceptFailed", Warning, "A caller's connection could not be accepted."}
	MemoryShort             = Event{1011, "memoryShort", Warning, "A holder of memory could not reserve more on behalf of requests; bodies were refused, or responses streamed earlier."}
	VersionInForce          = Event{2001, "versionInForce", Info, "A configuration with a higher revision was applied."}
	VersionRejected         = Event{2002, "versionRejected", Warning, "A configuration could not be decoded or is invalid, and was not applied."}
	VersionAccepted         = Event{2003, "versionAccepted", Info, "A change was accepted here and pushed to the relays."}
	RelayChanged            = Event{2004, "relayChanged", Info, "The entry became a relay of its region or stopped being one."}
	StoreUnreachable        = Event{2005, "storeUnreachable", Warning, "A call to the platform's key-value service failed; further failures are not logged until it can be reached again."}
	StoreReachable          = Event{2006, "storeReachable", Info, "The platform's key-value service can be reached again."}
	ListUnreachable         = Event{2007, "listUnreachable", Warning, "The list of instances could not be read."}
	RoutingInForce          = Event{2008, "routingInForce", Info, "A version of the routes was applied."}
	ItemUnusable            = Event{2009, "itemUnusable", Warning, "An item in the store could not be decoded and is not used."}
	HistoryLost             = Event{2010, "historyLost", Info, "The store has discarded the change history that the entry needs; all items are listed again."}
	SourceLost              = Event{2011, "sourceLost", Info, "The stream of store changes from another entry ended."}
	PeerUnreachable         = Event{2012, "peerUnreachable", Info, "A message to another entry could not be delivered."}
	MemberHeard             = Event{2013, "memberHeard", Info, "Another entry announced that it started or is leaving."}
	MemberGone              = Event{2014, "memberGone", Info, "Another entry was found to have stopped without announcing it."}
	ManyChanges             = Event{2015, "manyChanges", Info, "Many changes arrived together, as at startup; changes of upstreams are not logged one by one."}
	MemberReachable         = Event{2017, "memberReachable", Info, "An entry that did not respond does so again."}
	StoreRestored           = Event{2018, "storeRestored", Warning, "The store was restored from a copy: its replies name another era, and its revisions have gone back."}
	OlderListIgnored        = Event{2019, "olderListIgnored", Warning, "A list of all items was not applied, because it is older than the items that the entry has."}
	EndUnconfirmed          = Event{2020, "endUnconfirmed", Warning, "A peer reports that another entry has ended, but its port does not refuse connections from here; the report is ignored."}
	ZoneEvacuated           = Event{2021, "zoneEvacuated", Info, "The evacuation of an availability zone began; nothing is sent to the upstreams of the zone."}
	ZoneReturned            = Event{2022, "zoneReturned", Info, "The evacuation of an availability zone ended."}
	EvacuationIgnored       = Event{2023, "evacuationIgnored", Warning, "The evacuation of an unknown availability zone is ignored; further ones of the zone are not logged."}
	SourceFollowed          = Event{2024, "sourceFollowed", Info, "The entry receives the changes of the store from another entry; `ageMs` is the time since that one reached the store."}
	PrimarySilent           = Event{2025, "primarySilent", Warning, "Neither the store nor the entry's source has confirmed for `silentMs` that its items are up to date; it also receives changes from further entries."}
	PrimaryConfirmed        = Event{2026, "primaryConfirmed", Info, "The store or the entry's source confirms again that its items are up to date; the further entries are left."}
	StoreProbed             = Event{2027, "storeProbed", Info, "No other entry reaches the store, and this one, which otherwise leaves it to its sources, has called it; `err` is empty if the store serves it."}
	SteeringChanged         = Event{2028, "steeringChanged", Info, "This entry no longer names another one in resolve responses, because it does not respond, or names it again; `reason` tells why."}
	UpstreamLost            = Event{3001, "upstreamLost", Warning, "A connection to an upstream broke after a request was written to it, or the response was broken."}
	UpstreamDraining        = Event{3002, "upstreamDraining", Info, "An upstream reported that it is draining."}
	ConnectionStalled       = Event{3003, "connectionStalled", Warning, "A connection made no progress; the upstream's idle connections were closed."}
	Quarantined             = Event{3004, "quarantined", Warning, "Two upstreams were lost while they ran the same request; it is refused for a limited time."}
	RequestServed           = Event{3101, "requestServed", Info, "A request on a route ended; the result is `answered`, `cut` if a streamed response was interrupted, or the kind of the error; each attempt is logged as upstream:end:tookMs:readingAgeMs:slowness:load."}
	RequestUnreadable       = Event{3102, "requestUnreadable", Warning, "A caller's request could not be parsed and was refused."}
	UpstreamUnreachable     = Event{3103, "upstreamUnreachable", Warning, "A registered upstream could not be reached and receives no requests for a limited time."}
	UpstreamCrashed         = Event{3104, "upstreamCrashed", Warning, "An upstream could not be reached after its connection had broken during a request; the loss is counted for the request's fingerprint."}
	UpstreamRegistered      = Event{3105, "upstreamRegistered", Info, "An upstream registered itself or changed its registration."}
	UpstreamRemoved         = Event{3106, "upstreamRemoved", Info, "An upstream is no longer registered, or its registration cannot be used."}
	SecondAttempt           = Event{3107, "secondAttempt", Info, "A request was sent to a second upstream because the first one was slow or did not respond."}
	UpstreamLimited         = Event{3108, "upstreamLimited", Warning, "An upstream announces a limit on the requests from all entries together, or another one than before."}
	UpstreamLimitEnded      = Event{3109, "upstreamLimitEnded", Info, "An upstream no longer announces a limit."}
	UpstreamNoticeInvalid   = Event{3110, "upstreamNoticeInvalid", Warning, "A response of an upstream has a header about further requests that cannot be used; the response is passed on. At most one line a minute and upstream."}
	UpstreamPaused          = Event{3111, "upstreamPaused", Warning, "An upstream refused a request and asked this entry to back off for some time."}
	UpstreamLossUnconfirmed = Event{3112, "upstreamLossUnconfirmed", Warning, "An upstream could not be reached after its connection had broken during a request, but neither could upstreams near it, or another entry reaches it; the loss is not counted for a request."}
	UpstreamsLost           = Event{3113, "upstreamsLost", Warning, "This entry reaches none of several upstreams of a service; its requests are handed to other entries."}
	UpstreamsReturning      = Event{3114, "upstreamsReturning", Info, "Upstreams of a service can be reached again; requests return to them by degrees."}
	IsolationChanged        = Event{3115, "isolationChanged", Warning, "This entry reaches no upstream of any service, or reaches one again; callers are steered to others meanwhile."}
	HandoverLost            = Event{3116, "handoverLost", Warning, "The connection to another entry broke while it had a request of this one."}
	HandoverInvalid         = Event{3117, "handoverInvalid", Warning, "A request that another entry handed over was refused because its description is missing or invalid. At most one line a minute and peer."}
	UpstreamCold            = Event{3118, "upstreamCold", Info, "An upstream is cold, and its service limits the requests to it from all entries together; `ownRate` is the part of this entry."}
	UpstreamColdEnded       = Event{3119, "upstreamColdEnded", Info, "An upstream is no longer cold, so that no such limit applies."}
	AccountsReplaced        = Event{3122, "accountsReplaced", Info, "A table of the keys of client accounts took effect with a version of the routes."}
	AccountKeyConflict      = Event{3123, "accountKeyConflict", Warning, "Two client accounts list the same key, which is given to neither; requests with it get 401. At most 20 lines for each version."}
	HandoverRefused         = Event{3124, "handoverRefused", Warning, "A connection for requests that another entry hands over was refused, because its address is not that of a known entry. At most one line a minute and peer."}
	HelperUnreachable       = Event{3125, "helperUnreachable", Info, "A connection to another entry for handing over a request could not be opened."}
	PeerCheckFailed         = Event{3126, "peerCheckFailed", Info, "Another entry asked whether this one reaches an upstream, and a new connection to the upstream failed."}
	QuotaExhausted          = Event{3130, "quotaExhausted", Info, "Requests of a client account exceed its limit and are refused. At most one line a second and account."}
	QuotaOwnerChanged       = Event{3131, "quotaOwnerChanged", Info, "Another entry than before grants the credits of a client account."}
	QuotaOwnerUnreachable   = Event{3132, "quotaOwnerUnreachable", Warning, "No entry replied that may grant the credits of a client account, and its requests are refused. At most one line a second and account."}
	CreditMessageInvalid    = Event{3133, "creditMessageInvalid", Warning, "A message about credits from another entry was refused because it is invalid. At most one line a minute and peer."}
	AdmissionLevel          = Event{3140, "admissionLevel", Warning, "The capacity of a service is short: requests of the named priorities, and less urgent ones, are refused at once if they could not be served within the time that they may wait."}
	AdmissionEnded          = Event{3141, "admissionEnded", Info, "Requests of a service are no longer refused because of their priority."}
	StartedTogether         = Event{3142, "startedTogether", Info, "Most entries started together with this one; for some seconds, requests wait only as long as they can meet their latency target."}
	QuarantineAdopted       = Event{3143, "quarantineAdopted", Info, "This entry, which has just started, learned from another one that a request crashed upstreams; it is refused."}
	KeyTableFull            = Event{4001, "keyTableFull", Failure, "The key table is full; new keys are refused."}
	HandedOver              = Event{4002, "handedOver", Info, "The key table was handed over to a peer."}
	HandoverFailed          = Event{4003, "handoverFailed", Failure, "No peer accepted the key table; resent requests with its keys get the outcome unknown."}
	Adopted                 = Event{4004, "adopted", Info, "This entry took over the keys of a stopped peer."}
	PeerForbidden           = Event{5001, "peerForbidden", Warning, "A call to the peer listener carried a wrong secret."}
	OperatorForbidden       = Event{5002, "operatorForbidden", Warning, "A call to the operator listener carried a wrong token."}
	RequestPanicked         = Event{5003, "requestPanicked", Failure, "The handling of a request panicked."}
)

// Catalogue returns all events in ascending order of their numbers.
func Catalogue() []Event {
	return []Event{
		Started, Ready, Draining, Stopped,
		StopForced, SettingsReloaded, SettingsRejected, AnnounceFailed,
		LinesDropped, AcceptFailed, MemoryShort, VersionInForce, VersionRejected, VersionAccepted, RelayChanged,
		StoreUnreachable, StoreReachable, ListUnreachable, RoutingInForce,
		ItemUnusable, HistoryLost, SourceLost, PeerUnreachable, MemberHeard, MemberGone, ManyChanges,
		MemberReachable, StoreRestored, OlderListIgnored, EndUnconfirmed, ZoneEvacuated, ZoneReturned, EvacuationIgnored, SourceFollowed, PrimarySilent, PrimaryConfirmed, StoreProbed, SteeringChanged,
		UpstreamLost, UpstreamDraining, ConnectionStalled, Quarantined,
		RequestServed, RequestUnreadable, UpstreamUnreachable, UpstreamCrashed,
		UpstreamRegistered, UpstreamRemoved, SecondAttempt,
		UpstreamLimited, UpstreamLimitEnded, UpstreamNoticeInvalid, UpstreamPaused, UpstreamLossUnconfirmed,
		UpstreamsLost, UpstreamsReturning, IsolationChanged, HandoverLost, HandoverInvalid, UpstreamCold, UpstreamColdEnded,
		AccountsReplaced, AccountKeyConflict, HandoverRefused, HelperUnreachable, PeerCheckFailed,
		QuotaExhausted, QuotaOwnerChanged, QuotaOwnerUnreachable, CreditMessageInvalid,
		AdmissionLevel, AdmissionEnded, StartedTogether, QuarantineAdopted, KeyTableFull, HandedOver,
		HandoverFailed, Adopted, PeerForbidden, OperatorForbidden,
		RequestPanicked,
	}
}
