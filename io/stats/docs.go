package stats

import (
	"fmt"
	"strings"

	"almondrill/core"
)

// definition explains a counter.
type definition struct{ name, meaning string }

// counters are all counters that are no reasons.
var counters = []definition{
	{Requests, "requests, or on an agent calls, taken up"},
	{InProgress, "of these, not ended"},
	{AnswersWhole, "ended with the whole answer"},
	{AnswersNotRun, "ended as provably not run"},
	{AnswersFailed, "ended as run and failed"},
	{AnswersUnknown, "ended without knowing"},
	{PartsDropped, "parts or replies that were for another attempt"},
	{ControlBytesSent, "bytes sent for control, transport headers included"},
	{ControlMessagesHeldBack, "control messages that the budget did not allow"},
	{QueueCalls, "calls waiting for a slot now"},
	{RunningCalls, "calls running now"},
	{LoadWork, "work at the agent's endpoints now, in token equivalents"},
	{ConfigRevision, "the configuration in force here"},
	{ConfigRevertedRefused, "times that older configuration was offered and refused, or found in the KV"},
	{BoardEventsDropped, "traffic's observations dropped because control was busy; should stay 0"},
	{PeerConnectionsOpen, "connections to peers kept"},
	{KeyReplays, "outcomes replayed to a retry with the same key"},
	{OrdersGiven, "orders that an agent took from this router"},
	{OrdersDone, "orders that this agent's engines carried out"},
	{OrdersGivenUp, "times that an order failed on several engines of its pool and on none went well, so that the others keep what they have; see rolling-versions.md"},
	{OrdersFence, "the fencing number under which this router gives orders; 0 while another does"},
	{ContextsHandedOn, "contexts that this agent moved to other engines when it left"},
	{ContextsTakenIn, "contexts that this agent took in from leaving ones"},
	{PointersHandedOn, "directory entries that this agent passed on when it left"},
	{ViewAgeMs, "on a router without agents: time since the store last confirmed what is believed; above 2,500 unknown routes and keys are answered 503"},
	{PeersLive, "peers that are alive, by probes and by what others tell of them"},
	{EndpointsKnown, "registered endpoints, of pools that the configuration names, that are not draining"},
	{LogLinesDropped, "log lines dropped because the reader of the output was slow"},
	{RegistrationsUnusable, "registrations of endpoints that became unusable: fields missing or of another kind, an unknown state"},
	{StoreLed, "1 in a router that asks the platform's store for changes on behalf of all; two do, more for some seconds while the store turns them away"},
	{BytesHeld, "bytes that are held of bodies and answers, for callers and endpoints that are slow; at most a quarter of MemoryMB"},
	{EndpointsDisplaced, "endpoints that were taken for gone as another registered with their address"},
	{ItemsFailed, "items of the platform's store that brought a fault of this program about and were passed over; should stay 0"},
	{CrashedUnder, "requests of this router that an endpoint was running when it crashed; the lines \"An endpoint crashed.\" name them"},
	{RequestsQuarantined, "requests that are not sent to endpoints now, as they crash them"},
	{QuarantineTrials, "times that such a request was sent to an endpoint to see whether it still does"},
	{StoreEra, "how often the platform's store came back from a copy, as its answers count it; 0 if it does not tell"},
	{LeavingNotices, "answers of endpoints that announced that they leave; requests in progress there end, new ones go elsewhere"},
	{BackoffNotices, "answers of endpoints that refused a request and asked for none from this router for a time"},
	{ZonesEvacuated, "zones under evacuation; their endpoints get no new requests"},
	{ColdDenied, "times that a cold endpoint was chosen whose limit in requests a second was used up, and another was looked for"},
	{LogLinesSampled, "log lines left out because many of the same message came in a second"},
}

// latencies are the latencies of which quantiles are kept.
var latencies = []definition{
	{string(AnswerMs), "from a request to the end of its whole answer"},
	{string(FirstMs), "from a request to the first byte of an answer that became whole"},
	{string(GapMs), "the longest pause within a stream that became whole"},
	{string(SentMs), "from a request to its first sending to an endpoint: reading and placing"},
	{string(RefusedMs), "from a request to its refusal as not run"},
	{string(FailedMs), "from a request to an end without a whole answer, though it was sent"},
}

// advice is what a reason means, and what to do about it.
type advice struct {
	reason          core.Reason
	meaning, action string
}

var reasons = []advice{
	{core.ReasonBadRequest, "the caller's input is malformed", "nothing, unless one customer's rises: tell it"},
	{core.ReasonBadKey, "no customer has this bearer key", "check that the key's hash is declared and in force (`status`)"},
	{core.ReasonTooLarge, "body over MaxBodyBytes", "raise the setting if such bodies are wanted"},
	{core.ReasonSlowCaller, "the caller did not send its body within BodyTimeout", "look at the caller's network"},
	{core.ReasonUnknownModel, "the customer has no pool with that model, or no share in the service", "declare a share"},
	{core.ReasonNoConfig, "the process knows no accepted configuration yet", "is the KV up, are peers listed? See kv-outage.md"},
	{core.ReasonNoEndpoint, "the pool has no live VM in the list", "look at the platform's list and the pool names in it"},
	{core.ReasonWrongPool, "the agent has no endpoint of that pool", "the list's pools differ from the agent's settings"},
	{core.ReasonDraining, "the process is leaving; the router tried elsewhere", "nothing while VMs are replaced"},
	{core.ReasonLoadCap, "the endpoint is at LoadFactor times its pool's mean; the router tried elsewhere", "if callers see it, the pool is uneven or too small: tuning.md"},
	{core.ReasonQueueFull, "QueueCalls wait at the endpoint", "overload.md"},
	{core.ReasonShareExceeded, "the same, and the customer is over its share", "overload.md"},
	{core.ReasonBusyHolder, "prefilling elsewhere is quicker than waiting at the context", "raise ReuseBias to stay longer"},
	{core.ReasonHeldElsewhere, "another agent has the context, or has claimed the key; the router went there", "nothing; if callers see it, report it"},
	{core.ReasonDeadline, "the request's deadline passed", "overload, or deadlines that are too short"},
	{core.ReasonCallerGone, "the caller left", "nothing"},
	{core.ReasonKVDown, "a key could not be claimed", "kv-outage.md"},
	{core.ReasonClaimLost, "the process that claimed the key is gone: outcome unknown", "the caller must look for itself; see draining.md to avoid it"},
	{core.ReasonKeyReused, "the key came with another request", "tell the customer"},
	{core.ReasonAnswerGone, "it ran to its end, but the answer is too large or old to replay", "the caller must look for itself"},
	{core.ReasonUnreachable, "no connection to the agent; not run, tried elsewhere", "look at the VM named as peer"},
	{core.ReasonPeerLost, "the connection broke after the request was sent", "look at the VM named as peer"},
	{core.ReasonEndpointDown, "the agent cannot reach its endpoint", "look at the endpoint"},
	{core.ReasonEndpointError, "the endpoint answered with a status of 500 or above", "look at the endpoint"},
	{core.ReasonCrashed, "the agent's endpoint crashed while it ran the request", "look at the endpoint; requests that were there three times are quarantined"},
	{core.ReasonCutShort, "an answer stopped before its end", "look at the endpoint"},
	{core.ReasonCrossed, "a reply was for another attempt; dropped", "look at the endpoint: it mixes up answers"},
	{core.ReasonStalled, "the endpoint sent nothing for StallTimeout", "look at the endpoint"},
	{core.ReasonRetryBudget, "retries of work that may have run are used up", "something fails widely: look at the other reasons"},
	{core.ReasonQuarantined, "the request was running at three endpoints when they crashed, and is not sent to any for now", "find what it asks and tell its customer; see OPERATIONS.md"},
	{core.ReasonEvacuated, "all endpoints of the request's pool are in zones that the operator evacuated", "end an evacuation (`evacuated-zones.md`) or add endpoints elsewhere"},
	{core.ReasonNoHome, "the pool has no endpoint in the regions that are the homes of the request's route and customer", "look at the zones' regions in the settings, and at the endpoints there"},
	{core.ReasonColdLimit, "the endpoint became cold after it was chosen, and takes no more for now; the router tried elsewhere", "nothing"},
	{core.ReasonMemory, "bodies and answers of other requests took the memory that there is for them; the caller was refused and told to return after a second", "see BytesHeld: many callers send or read slowly; more routers, or VMs with more memory, hold more"},
	{core.ReasonBackoff, "the endpoint asked for no requests for a time; where all of a pool did, the caller was refused and told when the first takes some again", "look at the endpoint if it goes on: it refuses what it gets"},
	{core.ReasonReloading, "the engine is loading another model or version; the router tried elsewhere", "nothing while a version rolls; rolling-versions.md"},
	{core.ReasonOldFence, "an order came from a past holder of the lease and was refused", "nothing: the guard held"},
	{core.ReasonOrderBusy, "another order is in progress at the engine; it is given again", "nothing"},
	{core.ReasonWeightsBusy, "the weight store refused a load; fewer are begun from now on", "nothing, unless a version never finishes: rolling-versions.md"},
}

// Markdown is docs/operate/COUNTERS.md.
func Markdown() string {
	var out strings.Builder
	out.WriteString("# Counters, and what to do\n\nMade from the definitions by `go test ./io/stats -update`; a test fails when it is stale.\n\n" +
		"Each process serves its counters at `/debug/vars` of its AdminAddr, under\n`Almondrill`. `Refusals` and `Retries` have one counter for each reason.\n\n" +
		"## Reasons\n\n| reason | means | do |\n|---|---|---|\n")
	for _, ad := range reasons {
		fmt.Fprintf(&out, "| %s | %s | %s |\n", ad.reason, ad.meaning, ad.action)
	}
	out.WriteString("\n## Other counters\n\n| counter | means |\n|---|---|\n")
	for _, de := range counters {
		fmt.Fprintf(&out, "| %s | %s |\n", de.name, de.meaning)
	}
	out.WriteString("\n## Latencies\n\nOn routers without agents, in milliseconds since the start of the process: each name with\n" +
		"P50, P95, P99 and Max behind it, as `FirstMsP95`.\n\n| latency | means |\n|---|---|\n")
	for _, de := range latencies {
		fmt.Fprintf(&out, "| %s | %s |\n", de.name, de.meaning)
	}
	return out.String()
}
