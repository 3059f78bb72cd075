package capac

// Size and load of the target fleet, as its users stated them in letter 1.
const (
	routers           = 420
	agents            = 2100
	processes         = routers + agents
	requestsPerSecond = 25_000
	tokensPerSecond   = 7_000_000
	rememberedChats   = 2_200_000
	customers         = 1600
	keyWindow         = 900 // seconds; the default of the KeyWindow setting
	claimShards       = 64

	megabyte = 1 << 20
)

// Row is a row of the page's table.
type Row struct {
	Role, What, Mechanism string
	// Prefix and Suffix enclose the size in the benchmark's name; Metric is the unit of the values.
	Prefix, Suffix, Metric string
	// TargetSize is the size in the target fleet.
	TargetSize float64
	// Mean uses the mean over all sizes instead of the line: for values per unit that do not depend
	// on the size.
	Mean bool
	// Scale converts the value to Unit, the unit of Budget, for the target fleet. A Budget of 0
	// means none.
	Scale  float64
	Unit   string
	Budget float64
	// Note explains Scale or gives other remarks.
	Note string
}

const (
	roleRouter   = "router"
	roleAgent    = "agent"
	roleOperator = "operators"
	roleKV       = "KV"
	rolePath     = "path"
)

// Rows holds the rows of the page's table in order.
var Rows = []Row{
	{
		Role: roleRouter, What: "view of all agents", Mechanism: "core/board", Prefix: "Memory/agents/count=", Metric: "heap-B",
		TargetSize: processes, Scale: 1.0 / megabyte, Unit: "MB", Budget: 32, Note: "part of the 32 MB for control",
	},
	{
		Role: roleRouter, What: "compiled configuration", Mechanism: "core/decl", Prefix: "Memory/customers/count=", Metric: "heap-B",
		TargetSize: customers, Scale: 1.0 / megabyte, Unit: "MB", Budget: 32, Note: "part of the 32 MB for control",
	},
	{
		Role: "every process", What: "all memory when idle", Mechanism: "io/node", Prefix: "Idle/processes=", Metric: "B/process",
		TargetSize: 41, Scale: 1.0 / megabyte, Unit: "MB", Budget: 32, Note: "in a fleet of 41; heap and stacks, without the program itself",
	},
	{
		Role: "every process", What: "control messages sent", Mechanism: "core/bucket, core/agent/control.go", Prefix: "Control/own/nodes=", Metric: "B/s/node",
		TargetSize: processes, Scale: 1.0 / 1000, Unit: "KB/s", Budget: 5, Note: "limited to 2.5 KB/s by a bucket whatever the size",
	},
	{
		Role: "every process", What: "configuration sent", Mechanism: "core/syncer", Prefix: "Config/own/nodes=", Metric: "config-B/s/node",
		TargetSize: processes, Scale: 1.0 / 1000, Unit: "KB/s", Budget: 0.3, Note: "3,800 changes a day; aim 300 B/s",
	},
	{
		Role: "every process", What: "processor time of control", Mechanism: "core/agent/control.go, core/syncer", Prefix: "Idle/processes=", Metric: "core-%",
		TargetSize: 41, Mean: true, Scale: 1, Unit: "% of a core", Budget: 1.4, Note: "does not grow with the fleet in the range measured; the share of larger digests and views is not measured",
	},
	{
		Role: roleRouter, What: "streamed tokens", Mechanism: "io/rpc, io/front", Prefix: "TokenHop/streams=", Metric: "ns/token",
		Mean: true, Scale: tokensPerSecond / routers / 1e9, Unit: "cores", Budget: 0, Note: "16,667 tokens/s a router, each its own part; no budget given",
	},
	{
		Role: roleRouter, What: "requests", Mechanism: "core/router, io/front", Prefix: "RequestHop/requests=", Metric: "ns/request",
		Mean: true, Scale: requestsPerSecond / float64(routers) / 1e9, Unit: "cores", Note: "60 requests/s a router",
	},
	{
		Role: roleRouter, What: "connections to agents", Mechanism: "io/rpc/client.go", Prefix: "Connection/count=", Metric: "B/conn",
		Mean: true, Scale: 512.0 / megabyte, Unit: "MB", Note: "bounded at 512 by MaxConnections; both ends of each",
	},
	{
		Role: roleAgent, What: "chats remembered", Mechanism: "core/ctxdir", Prefix: "Memory/chats/count=", Metric: "B/each",
		Mean: true, Scale: rememberedChats / float64(agents) / megabyte, Unit: "MB", Budget: 32, Note: "1,048 chats an agent; pointers to chats elsewhere cost less each",
	},
	{
		Role: roleAgent, What: "streamed tokens", Mechanism: "io/back, io/rpc", Prefix: "TokenHop/streams=", Metric: "ns/token",
		Mean: true, Scale: tokensPerSecond / float64(agents) / 1e9, Unit: "cores", Note: "3,333 tokens/s an agent",
	},
	{
		Role: roleAgent, What: "claims of one of 64 shards, 5 % once-only", Mechanism: "core/claim/writer.go", Prefix: "Memory/keys/count=", Metric: "B/each",
		Mean: true, Scale: requestsPerSecond * 0.05 * keyWindow / claimShards / megabyte, Unit: "MB", Budget: 32, Note: "17,578 claims a shard over the window of 15 min; up to twice that between rotations",
	},
	{
		Role: roleAgent, What: "claims of one of 64 shards, 20 % once-only", Mechanism: "core/claim/writer.go", Prefix: "Memory/keys/count=", Metric: "B/each",
		Mean: true, Scale: requestsPerSecond * 0.2 * keyWindow / claimShards / megabyte, Unit: "MB", Budget: 32, Note: "70,313 claims a shard",
	},
	{
		Role: roleKV, What: "configuration polls", Mechanism: "core/syncer", Prefix: "Config/own/nodes=", Metric: "kv-calls/s",
		TargetSize: processes, Scale: 1, Unit: "calls/s", Budget: 150, Note: "the whole fleet's pace is fixed at 60 a second",
	},
	{
		Role: roleKV, What: "claim writes, 1 % once-only", Mechanism: "core/claim", Prefix: "Claims/own/offered=", Suffix: "", Metric: "writes/s",
		TargetSize: 250, Scale: 1, Unit: "writes/s", Budget: 300, Note: "not linear: bounded by 64 shards x their pace",
	},
	{
		Role: roleKV, What: "claim writes, 5 % once-only", Mechanism: "core/claim", Prefix: "Claims/own/offered=", Metric: "writes/s",
		TargetSize: 1250, Scale: 1, Unit: "writes/s", Budget: 300, Note: "as above",
	},
	{
		Role: roleKV, What: "claim writes, 20 % once-only", Mechanism: "core/claim", Prefix: "Claims/own/offered=", Metric: "writes/s",
		TargetSize: 5000, Scale: 1, Unit: "writes/s", Budget: 300, Note: "as above",
	},
	{
		Role: roleKV, What: "claims stored, 5 % once-only", Mechanism: "core/claim/chain.go", Prefix: "Claims/own/offered=", Metric: "kv-B/claim",
		TargetSize: 1250, Scale: requestsPerSecond * 0.05 * keyWindow / megabyte, Unit: "MB", Note: "1.1 million claims over the window; entries of about 2 KB",
	},
	{
		Role: roleKV, What: "claims stored, 20 % once-only", Mechanism: "core/claim/chain.go", Prefix: "Claims/own/offered=", Metric: "kv-B/claim",
		TargetSize: 5000, Scale: requestsPerSecond * 0.2 * keyWindow / megabyte, Unit: "MB", Note: "4.5 million claims over the window",
	},
	{
		Role: roleOperator, What: "in force everywhere, p99", Mechanism: "core/syncer", Prefix: "InForce/own/nodes=", Suffix: "/kv-lost=false", Metric: "p99-s",
		TargetSize: processes, Scale: 1, Unit: "s", Budget: 9, Note: "a line through 50 to 500 processes; spreading grows with the logarithm, so this is high",
	},
	{
		Role: roleOperator, What: "in force everywhere, KV lost, p99", Mechanism: "core/syncer", Prefix: "InForce/own/nodes=", Suffix: "/kv-lost=true", Metric: "p99-s",
		TargetSize: processes, Scale: 1, Unit: "s", Budget: 9, Note: "as above",
	},
	{
		Role: roleKV, What: "lease of orders, while a version rolls", Mechanism: "core/order/lease.go", Prefix: "Roll/own/engines=", Metric: "KV-writes/s",
		TargetSize: agents, Scale: 1, Unit: "writes/s", Budget: 30, Note: "one holder's renewals, whatever the fleet; an order costs two reads",
	},
	{
		Role: roleOperator, What: "rolling a version, against the weight store's own time", Mechanism: "core/order/loadwindow.go", Prefix: "Roll/own/engines=", Metric: "time/needed",
		Mean: true, Scale: 1, Unit: "times", Note: "not linear; a store that bears two loads of 20 s",
	},
	{
		Role: roleOperator, What: "start from a snapshot", Mechanism: "core/revlog", Prefix: "SnapshotStart", Metric: "ns/op",
		Mean: true, Scale: 1e-9, Unit: "s", Budget: 9, Note: "1,600 customers, decoding and compiling",
	},
	{
		Role: rolePath, What: "choice of an agent", Mechanism: "core/pick", Prefix: "Pick/own", Metric: "ns/op",
		Mean: true, Scale: 1e-3, Unit: "µs", Budget: 1, Note: "pool of 150 in a fleet of 2,100",
	},
	{
		Role: rolePath, What: "admission at an agent", Mechanism: "core/admit", Prefix: "Admit/own", Metric: "ns/op",
		Mean: true, Scale: 1e-3, Unit: "µs", Budget: 1, Note: "1,600 customers, 149 peers",
	},
	{
		Role: rolePath, What: "added to a whole answer, p50", Mechanism: "io/front, io/rpc, io/back", Prefix: "Added/rate=", Metric: "added-p50-ms",
		TargetSize: 1000, Scale: 1, Unit: "ms", Budget: 0.5, Note: "at 1,000 requests/s; callers, router, agent and engine share one program on this machine",
	},
	{
		Role: rolePath, What: "added to a whole answer, p99", Mechanism: "io/front, io/rpc, io/back", Prefix: "Added/rate=", Metric: "added-p99-ms",
		TargetSize: 1000, Scale: 1, Unit: "ms", Budget: 2, Note: "as above; of the 480 ms to a first token",
	},
	{
		Role: rolePath, What: "added by a claim, p99, 5 % once-only", Mechanism: "core/claim", Prefix: "Claims/own/offered=", Metric: "p99-added-ms",
		TargetSize: 1250, Scale: 1, Unit: "ms", Budget: 480, Note: "once-only requests; the KV answers in 3 ms",
	},
}
