package event

// The catalogue. Numbers are never used again for another event.
var (
	Started             = Event{1001, "started", Info, "The entry listens on its addresses."}
	Ready               = Event{1002, "ready", Info, "The entry has a configuration and serves callers."}
	Draining            = Event{1003, "draining", Info, "The entry leaves: resolve answers no longer name it."}
	Stopped             = Event{1004, "stopped", Info, "The entry ended with no request in flight."}
	StopForced          = Event{1005, "stopForced", Failure, "The entry reached its stop limit with requests in flight."}
	SettingsReloaded    = Event{1006, "settingsReloaded", Info, "Changed settings are in force."}
	SettingsRejected    = Event{1007, "settingsRejected", Warning, "Changed settings can't work and were not taken."}
	AnnounceFailed      = Event{1008, "announceFailed", Warning, "The entry could not be listed in the store."}
	LinesDropped        = Event{1009, "linesDropped", Warning, "Log lines were left out to keep their volume bounded."}
	AcceptFailed        = Event{1010, "acceptFailed", Warning, "A caller's connection could not be accepted."}
	VersionInForce      = Event{2001, "versionInForce", Info, "A configuration of a higher revision is in force."}
	VersionRejected     = Event{2002, "versionRejected", Warning, "A configuration could not be read and was not taken."}
	VersionAccepted     = Event{2003, "versionAccepted", Info, "A change was accepted here and offered to the relays."}
	RelayChanged        = Event{2004, "relayChanged", Info, "The entry began or ceased to be a relay of its region."}
	StoreUnreachable    = Event{2005, "storeUnreachable", Warning, "The platform's service gave no answer."}
	StoreReachable      = Event{2006, "storeReachable", Info, "The platform's service answers again."}
	ListUnreachable     = Event{2007, "listUnreachable", Warning, "The list of instances could not be read."}
	RoutingInForce      = Event{2008, "routingInForce", Info, "A version of the routes is in force."}
	ItemUnusable        = Event{2009, "itemUnusable", Warning, "An item of the store could not be read and names nothing to use."}
	HistoryLost         = Event{2010, "historyLost", Info, "The store's history was gone; all items are listed anew."}
	SourceLost          = Event{2011, "sourceLost", Info, "Another entry passes changes of the store on no more."}
	PeerUnreachable     = Event{2012, "peerUnreachable", Info, "A message to another entry was not taken."}
	MemberHeard         = Event{2013, "memberHeard", Info, "Another entry said that it has started or leaves."}
	MemberGone          = Event{2014, "memberGone", Info, "Another entry was found to have ended without leaving."}
	ManyChanges         = Event{2015, "manyChanges", Info, "Many changes came together, as at a start; those of upstreams have no lines of their own."}
	UpstreamLost        = Event{3001, "upstreamLost", Warning, "A connection broke after a request was written to an upstream."}
	UpstreamDraining    = Event{3002, "upstreamDraining", Info, "An upstream said that it drains."}
	ConnectionStalled   = Event{3003, "connectionStalled", Warning, "A connection made no progress; the upstream's idle connections were closed."}
	Quarantined         = Event{3004, "quarantined", Warning, "A request lost two upstreams and is refused for a while."}
	RequestServed       = Event{3101, "requestServed", Info, "A request on a route was answered; the result is cut if a long answer broke off; attempts are upstream:end:tookMs:readingAgeMs:slowness:load."}
	RequestUnreadable   = Event{3102, "requestUnreadable", Warning, "A caller's request could not be read and was refused."}
	UpstreamUnreachable = Event{3103, "upstreamUnreachable", Warning, "A registered upstream gave no sign of life and gets no request for a while."}
	UpstreamCrashed     = Event{3104, "upstreamCrashed", Warning, "An upstream was gone after it had lost a request; the request's fingerprint is counted."}
	UpstreamRegistered  = Event{3105, "upstreamRegistered", Info, "An upstream registered itself or changed its entry."}
	UpstreamRemoved     = Event{3106, "upstreamRemoved", Info, "An upstream is registered no more, or its entry can't be used."}
	SecondAttempt       = Event{3107, "secondAttempt", Info, "A request was sent to a second upstream because its first one had turned slow or gave no answer."}
	KeyTableFull        = Event{4001, "keyTableFull", Failure, "The key table is full; new keys are refused."}
	HandedOver          = Event{4002, "handedOver", Info, "The key table was handed to a peer."}
	HandoverFailed      = Event{4003, "handoverFailed", Failure, "No peer took the key table; resends of its keys end as unknown."}
	Adopted             = Event{4004, "adopted", Info, "This entry answers for the keys of a stopped peer."}
	PeerForbidden       = Event{5001, "peerForbidden", Warning, "A call to the peers' listener carried a wrong secret."}
	OperatorForbidden   = Event{5002, "operatorForbidden", Warning, "A call to the operators' listener carried a wrong token."}
	RequestPanicked     = Event{5003, "requestPanicked", Failure, "A request ended in an unexpected failure of this program."}
)

// Catalogue returns every event in the order of its number.
func Catalogue() []Event {
	return []Event{
		Started, Ready, Draining, Stopped,
		StopForced, SettingsReloaded, SettingsRejected, AnnounceFailed,
		LinesDropped, AcceptFailed, VersionInForce, VersionRejected, VersionAccepted, RelayChanged,
		StoreUnreachable, StoreReachable, ListUnreachable, RoutingInForce,
		ItemUnusable, HistoryLost, SourceLost, PeerUnreachable, MemberHeard, MemberGone, ManyChanges,
		UpstreamLost, UpstreamDraining, ConnectionStalled, Quarantined,
		RequestServed, RequestUnreadable, UpstreamUnreachable, UpstreamCrashed,
		UpstreamRegistered, UpstreamRemoved, SecondAttempt, KeyTableFull, HandedOver,
		HandoverFailed, Adopted, PeerForbidden, OperatorForbidden,
		RequestPanicked,
	}
}
