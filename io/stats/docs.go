package stats

import (
	"fmt"
	"strings"

	"almondrill/core"
)

// definition is a counter or latency with its meaning.
type definition struct{ name, meaning string }

// counters explains all counters but those of reasons.
var counters = []definition{
	{Requests, "requests received, or calls on an agent"},
	{InProgress, "requests or calls in progress"},
	{AnswersWhole, "requests that ended with a complete response"},
	{AnswersNotRun, "requests that ended with outcome NotRun: certainly not executed"},
	{AnswersFailed, "requests that ended with outcome Failed: executed without a complete response"},
	{AnswersUnknown, "requests that ended with outcome Unknown: perhaps executed"},
	{PartsDropped, "response parts or replies that were dropped since they belonged to another attempt"},
	{ControlBytesSent, "bytes of control messages sent, transport headers included"},
	{ControlMessagesHeldBack, "control messages that were not sent since the budget did not allow them"},
	{QueueCalls, "calls waiting for a slot now"},
	{RunningCalls, "calls being executed now"},
	{LoadWork, "work at the agent's endpoints now, in token equivalents"},
	{ConfigRevision, "revision of the configuration in force here"},
	{ConfigRevertedRefused, "times that an older configuration was offered and refused, or found in the KV"},
	{BoardEventsDropped, "observations of requests that were dropped because the control loop was busy; should stay 0"},
	{PeerConnectionsOpen, "open connections to peers"},
	{KeyReplays, "outcomes replayed to a retry with the same idempotency key"},
	{OrdersGiven, "orders from this router that an agent accepted"},
	{OrdersDone, "orders that this agent's engines carried out"},
	{OrdersGivenUp, "times that an order failed on several engines of its pool and succeeded on none, so that the other engines keep their state; see rolling-versions.md"},
	{OrdersFence, "fencing number with which this router issues orders; 0 while another router does"},
	{ContextsHandedOn, "contexts that this agent transferred to other engines when it shut down"},
	{ContextsTakenIn, "contexts that this agent received from agents that shut down"},
	{PointersHandedOn, "directory entries that this agent handed over when it shut down"},
	{ViewAgeMs, "on a router without agents: time since the store last confirmed this router's view; above 2,500, requests with unknown routes and keys get status 503"},
	{PeersLive, "live peers, by this router's probes and by reports of other peers"},
	{EndpointsKnown, "registered endpoints that are not draining, of pools that the configuration names"},
	{LogLinesDropped, "log lines dropped because the reader of the output was slow"},
	{RegistrationsUnusable, "endpoint registrations that became unusable: fields missing or of the wrong type, or an unknown state"},
	{StoreLed, "1 in a router that watches the platform's store on behalf of all; two do, more for some seconds while the store rejects them"},
	{BytesHeld, "bytes that callers make the process hold: connections, heads, and bodies of requests and responses; bounded by MemoryMB, see hostile-clients.md"},
	{DescriptorsHeld, "descriptors of callers' connections and of connections to endpoints; bounded by MaxDescriptors, see hostile-clients.md"},
	{ConnsEvicted, "connections that were closed because there was no room for a new one: late heads first, then idle ones"},
	{ConnsRefused, "new connections that were closed at once because there was no room and no other connection could be closed"},
	{DeadlinesShortened, "requests, and on agents calls, with a deadline beyond MaxDeadline, which applies to them instead"},
	{MessagesRejected, "messages of peers that were refused for a name or text that is too long; the call has not run"},
	{PeersRejected, "addresses of peers that were ignored, as MaxPeers are known"},
	{HeadsRefused, "heads of requests that were refused as they arrived, since they were over the limit or there was no memory for them"},
	{EndpointsDisplaced, "endpoints that were assumed to be gone because another registered with their address"},
	{ItemsFailed, "items of the platform's store that were skipped because they triggered a fault of this program; should stay 0"},
	{CrashedUnder, "requests of this router that an endpoint was executing when it crashed; the log lines \"An endpoint crashed.\" list them"},
	{RequestsQuarantined, "requests and parts of prompts that are currently not sent to endpoints because they crash them"},
	{QuarantineTrials, "times that a quarantined request, or one with a quarantined part, was sent to an endpoint to see whether it still crashes it"},
	{StoreEra, "times that the platform's store was restored from a backup, as counted in its responses; 0 if they contain no count"},
	{LeavingNotices, "responses of endpoints that announced their shutdown; requests in progress there finish, new ones go elsewhere"},
	{BackoffNotices, "responses of endpoints that refused a request and asked this router to send none for a time"},
	{RequestsWaiting, "requests that wait at the router until a plain pool has a free place for them; `almondrill waiting` lists them"},
	{AdmittedAfterWait, "requests that waited at the router and were then sent to an endpoint"},
	{RefusedByShare, "requests refused with ShareExceeded before they were sent, because their customer was over its share of a plain pool"},
	{RefusedForTime, "requests refused with QueueFull before they were sent, because a plain pool had no place for them in time"},
	{OutputErrorP50, "median error of the expected lengths of streams, in percent of the length seen, over the last 512 streams"},
	{OutputErrorP90, "90th percentile of the error of the expected lengths of streams, in percent of the length seen"},
	{MemoryWaiting, "requests that wait for memory of an engine, at most a quarter of their first-byte goal"},
	{MemoryWaited, "requests that were sent to an engine after they had waited for its memory"},
	{OversizedAnswers, "answers with a head or an event that is longer than may be buffered, as of an endpoint that sends without end"},
	{MalformedAnswers, "answers that are not valid HTTP, such as one with the status 000; their requests may have run"},
	{UnnamedAnswers, "responses that were skipped as they name no request, on connections where others do"},
	{UnmarkedEnds, "answers that only the end of the endpoint's connection ended, so that nothing says that they are whole"},
	{StreamsResumed, "requests that continue a stream of an earlier attempt of the caller"},
	{ViewsNotVerified, "how often the store did not confirm in time which software versions serve when a stream was continued"},
	{MigrationsBegun, "migrations of running streams to other engines that began with a copy, by reason: the engine is Slow, or Draining"},
	{MigrationsDone, "migrations after which the stream continued at another engine, by reason"},
	{MigrationsFailed, "migrations after which the stream did not continue at another engine, by reason; the lines \"A stream did not migrate.\" say why"},
	{ZonesEvacuated, "zones under evacuation; their endpoints get no new requests"},
	{ColdDenied, "times that a chosen cold endpoint had used up its limit in requests a second, so that another was chosen"},
	{LogLinesSampled, "log lines left out because too many with the same message were logged in a second"},
}

// latencies explains the latencies that are recorded.
var latencies = []definition{
	{string(AnswerMs), "from the arrival of a request to the end of its complete response"},
	{string(FirstMs), "from the arrival of a request to the first byte of a response that was completed"},
	{string(GapMs), "the longest pause within a stream that was completed"},
	{string(SentMs), "from the arrival of a request until it is first sent to an endpoint: reading it and choosing the endpoint"},
	{string(RefusedMs), "from the arrival of a request to its refusal with outcome NotRun"},
	{string(FailedMs), "from the arrival of a request that was sent to an endpoint until it ended without a complete response"},
}

// advice explains a reason, and what an operator can do about it.
type advice struct {
	reason          core.Reason
	meaning, action string
}

var reasons = []advice{
	{core.ReasonBadRequest, "the caller's input is malformed", "nothing, unless one customer's count rises: tell the customer"},
	{core.ReasonBadKey, "no customer has this bearer key", "check that the key's hash is declared and in force (`status`)"},
	{core.ReasonTooLarge, "body over MaxBodyBytes", "raise the setting if such bodies are wanted"},
	{core.ReasonSlowCaller, "the caller did not send its body within BodyTimeout", "look at the caller's network"},
	{core.ReasonUnknownModel, "the customer has no pool with that model, or no share in the service", "declare a share"},
	{core.ReasonNoConfig, "the process knows no accepted configuration yet", "check that the KV is up and peers are listed; see kv-outage.md"},
	{core.ReasonNoEndpoint, "the pool has no live VM in the list", "check the platform's list and the pool names in it"},
	{core.ReasonWrongPool, "the agent has no endpoint of that pool", "compare the list's pools with the agent's settings: they differ"},
	{core.ReasonDraining, "the process is draining; the router tried elsewhere", "nothing while VMs are replaced"},
	{core.ReasonLoadCap, "the endpoint's load is at LoadFactor times its pool's mean; the router tried elsewhere", "if callers see it, the pool is uneven or too small: tuning.md"},
	{core.ReasonQueueFull, "the endpoint's queue is full: QueueCalls calls wait; on a router without agents, also: a plain pool has no place in time", "overload.md"},
	{core.ReasonShareExceeded, "the endpoint's queue or the plain pool is full, and the customer is over its share", "overload.md"},
	{core.ReasonBusyHolder, "prefilling elsewhere is quicker than waiting for the endpoint whose cache has the context", "raise ReuseBias to keep chats there longer"},
	{core.ReasonHeldElsewhere, "another agent has the context, or has claimed the idempotency key; the router tried there", "nothing; if callers see it, report it"},
	{core.ReasonDeadline, "the request's deadline passed", "look for overload, or for deadlines that are too short"},
	{core.ReasonCallerGone, "the caller disconnected", "nothing"},
	{core.ReasonKVDown, "an idempotency key could not be claimed", "kv-outage.md"},
	{core.ReasonClaimLost, "the process that claimed the idempotency key is gone: the outcome is unknown", "the caller must find out itself; see draining.md to avoid it"},
	{core.ReasonKeyReused, "the idempotency key was used for another request before", "tell the customer"},
	{core.ReasonAnswerGone, "the request was executed, but its response is too large or too old to replay", "the caller must find out the result itself"},
	{core.ReasonUnreachable, "no connection to the agent; the request was not executed there, and the router tried elsewhere", "check the VM named as peer"},
	{core.ReasonPeerLost, "the connection broke after the request was sent", "check the VM named as peer"},
	{core.ReasonEndpointDown, "the agent cannot connect to its endpoint", "check the endpoint"},
	{core.ReasonEndpointError, "the endpoint responded with a status of 500 or above", "check the endpoint"},
	{core.ReasonCrashed, "the agent's endpoint crashed while it executed the request", "check the endpoint; a request that was running in three crashes is quarantined"},
	{core.ReasonCutShort, "a response ended before it was complete", "check the endpoint"},
	{core.ReasonCrossed, "a response belonged to another attempt and was dropped", "check the endpoint: it mixes up responses"},
	{core.ReasonStalled, "the endpoint sent nothing for StallTimeout", "check the endpoint"},
	{core.ReasonRetryBudget, "the budget for retries of work that may have been executed is used up", "look at the other reasons: many requests fail"},
	{core.ReasonQuarantined, "three endpoints crashed while they executed the request, so it is not sent to any for now", "find out what the request asks for and tell its customer; see OPERATIONS.md"},
	{core.ReasonEvacuated, "all endpoints of the request's pool are in zones that the operator evacuated", "end an evacuation (`evacuated-zones.md`) or add endpoints elsewhere"},
	{core.ReasonNoHome, "the pool has no endpoint in the home regions of the request's route and customer", "check the zones' regions in the settings, and the endpoints there"},
	{core.ReasonColdLimit, "the endpoint became cold after it was chosen, and accepts no more requests for now; the router tried elsewhere", "nothing"},
	{core.ReasonMemory, "bodies of other requests and responses used up the memory for buffering; the caller was refused and told to retry after a second", "see BytesHeld: many callers send or read slowly; add routers, or give VMs more memory"},
	{core.ReasonBackoff, "the endpoint asked for no requests for a time; if all endpoints of a pool did, the caller was refused and told when the first accepts requests again", "check the endpoint if this lasts: it refuses requests"},
	{core.ReasonDescriptors, "connections to endpoints took all the descriptors that the process may open for them; the request was refused and not executed", "see DescriptorsHeld and hostile-clients.md: raise MaxDescriptors, or add routers"},
	{core.ReasonMemoryFull, "no engine of the pool has memory for the request's prompt and expected response; it waited for at most a quarter of its first-byte goal", "add engines, or check `OutputErrorP90`: if it is high, responses are expected to be longer than they are"},
	{core.ReasonVersionUnknown, "several software versions serve, and no router that answered knows which one began the stream that the request resumes, or the request does not name its attempt; it was not run", "check whether routers were lost with their records, and whether the caller sends `Resumes`"},
	{core.ReasonVersionGone, "no other endpoint of the software version that began the request's stream is left, so that it cannot continue; its caller has to send the request anew", "during a release, keep two endpoints of the old version until its streams have ended"},
	{core.ReasonReloading, "the engine is loading another model or version; the router tried elsewhere", "nothing during a rollout of a version; rolling-versions.md"},
	{core.ReasonOldFence, "an order from a previous holder of the lease was refused", "nothing: the fencing worked"},
	{core.ReasonOrderBusy, "another order is in progress at the engine; this one is sent again", "nothing"},
	{core.ReasonWeightsBusy, "the weight store refused a load; fewer loads run at a time from now on", "nothing, unless a rollout does not finish: rolling-versions.md"},
}

// Markdown returns the content of docs/operate/COUNTERS.md.
func Markdown() string {
	var out strings.Builder
	out.WriteString("# Counters, and what to do\n\nGenerated from the definitions by `go test ./io/stats -update`; a test fails if it is stale.\n\n" +
		"Each process serves its counters at `/debug/vars` of its AdminAddr, under\n`Almondrill`. `Refusals` and `Retries` have one counter for each reason,\nand so have the counters of migrations.\n\n" +
		"## Reasons\n\n| reason | means | do |\n|---|---|---|\n")
	for _, ad := range reasons {
		fmt.Fprintf(&out, "| %s | %s | %s |\n", ad.reason, ad.meaning, ad.action)
	}
	out.WriteString("\n## Other counters\n\n| counter | means |\n|---|---|\n")
	for _, de := range counters {
		fmt.Fprintf(&out, "| %s | %s |\n", de.name, de.meaning)
	}
	out.WriteString("\n## Latencies\n\nOn routers without agents, in milliseconds, over the time since the start of the process: each\n" +
		"name with the suffix P50, P95, P99 or Max, such as `FirstMsP95`.\n\n| latency | means |\n|---|---|\n")
	for _, de := range latencies {
		fmt.Fprintf(&out, "| %s | %s |\n", de.name, de.meaning)
	}
	return out.String()
}
