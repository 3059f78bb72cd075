package conf

import (
	"time"

	"almondrill/core"
)

// RelaySettings are the settings of a router that calls endpoints itself.
type RelaySettings struct {
	Name        core.VMID                 `yaml:"Name" doc:"The VM's name." need:"yes"`
	Zone        core.Zone                 `yaml:"Zone" doc:"The VM's availability zone." need:"yes"`
	Region      core.Region               `yaml:"Region" doc:"The VM's region." need:"yes"`
	Zones       map[core.Zone]core.Region `yaml:"Zones" doc:"The region of each zone, for routes and customers that have home regions. None if left out."`
	CallersAddr string                    `yaml:"CallersAddr" doc:"IP address and port for callers." need:"yes"`
	ReadyAddr   string                    `yaml:"ReadyAddr" doc:"IP address and port at which the balancer asks whether to send callers here." need:"yes"`
	AdminAddr   string                    `yaml:"AdminAddr" doc:"IP address and port for /healthz, /debug/vars and /debug/quarantine." need:"yes"`
	MetricsAddr string                    `yaml:"MetricsAddr" doc:"IP address and port for counters and latency histograms as text, at /metrics. None if left out."`
	PeersAddr   string                    `yaml:"PeersAddr" doc:"IP address and port for the other routers, over TCP and UDP; the port is the same on all." need:"yes"`
	KVAddr      string                    `yaml:"KVAddr" doc:"Address of the platform's store." need:"yes"`
	Seeds       []string                  `yaml:"Seeds" doc:"Addresses of other routers, to find them while the store is away. Only the host is used."`

	CapFactor       float64       `yaml:"CapFactor" doc:"No engine is given calls beyond this multiple of its pool's mean. Default 2."`
	ColdOverrun     float64       `yaml:"ColdOverrun" doc:"A cold endpoint gets at most this multiple of the rate that its pool declares, plus ColdSlack, in any second. Default 1."`
	ColdSlack       float64       `yaml:"ColdSlack" doc:"Requests a second that a cold endpoint gets beyond that. Default 0."`
	EvacuateMs      int           `yaml:"EvacuateMs" doc:"Milliseconds after its acceptance at which a zone's evacuation has to be obeyed; chats leave the zone one after the other until 1.5 s before. 0 means at once."`
	RetryRatio      float64       `yaml:"RetryRatio" doc:"Further attempts of all routers together, as a part of requests. Default 0.1."`
	RetrySlack      float64       `yaml:"RetrySlack" doc:"Further attempts of all routers together that are free, per RetrySpan. Default 10."`
	RetrySpan       time.Duration `yaml:"RetrySpan" doc:"The span over which further attempts are bounded. Default 10s."`
	DrainDelay      time.Duration `yaml:"DrainDelay" doc:"Time between saying that it leaves and closing the callers' address. Default 3s."`
	DrainTimeout    time.Duration `yaml:"DrainTimeout" doc:"Time from the order to stop to the end; work still in progress is cut then. Default 10m."`
	EngineDrainTime time.Duration `yaml:"EngineDrainTime" doc:"How long engines serve at least after they announced their shutdown, without the 1.5 s that all of them add. Default 3s."`
	ReturnDelay     time.Duration `yaml:"ReturnDelay" doc:"How long after an outage of the store registrations that lapsed in it may be missing. Default 2s."`
	MemoryMB        int           `yaml:"MemoryMB" doc:"Memory of the process in megabytes; 0 means no bound. Callers may take 0.6 of what is above 32 MB: half of that for connections, 0.15 for heads, 0.35 for bodies and responses."`
	MaxDescriptors  int           `yaml:"MaxDescriptors" doc:"Descriptors that the process may have open. Default: the platform's limit, in ALMONDRILL_MAX_DESCRIPTORS, or else the system's. An eighth, 48 to 256, is for the process's own work; callers' connections may take two thirds of the rest, connections to endpoints one third."`
	FileDescriptors int           `yaml:"FileDescriptors" doc:"How many of MaxDescriptors are kept for files. Default 0."`
	MaxPeers        int           `yaml:"MaxPeers" doc:"Other routers that this one knows at most; addresses beyond that are ignored unless a message comes from there and a known router is gone. Default 2048."`
	LogLevel        string        `yaml:"LogLevel" doc:"debug, info, warn or error. Default info."`
}

// defaultMaxPeers is far above the number of routers in a fleet.
const defaultMaxPeers = 2048

// Defaults sets the settings that were left out to their defaults.
func (se *RelaySettings) Defaults() {
	defaultTo(&se.CapFactor, 2)
	defaultTo(&se.ColdOverrun, 1)
	defaultTo(&se.RetryRatio, 0.1)
	defaultTo(&se.RetrySlack, 10)
	defaultTo(&se.RetrySpan, 10*time.Second)
	defaultTo(&se.DrainDelay, 3*time.Second)
	defaultTo(&se.DrainTimeout, 10*time.Minute)
	defaultTo(&se.EngineDrainTime, 3*time.Second)
	defaultTo(&se.ReturnDelay, 2*time.Second)
	defaultTo(&se.MaxPeers, defaultMaxPeers)
	defaultTo(&se.LogLevel, "info")
}

// ReadRelaySettings decodes and validates the settings of a router that calls endpoints itself. An
// error is of type Problems.
func ReadRelaySettings(file string, data []byte) (*RelaySettings, error) {
	var se RelaySettings
	if err := DecodeStrict(file, data, &se); err != nil {
		return nil, err
	}
	ch := &settingsChecker{file: file, objectLines: ObjectLines(data), keyLines: keyLines(data)}
	ch.checkPresent("Name", string(se.Name), "the VM's name")
	ch.checkPresent("Zone", string(se.Zone), "the VM's availability zone")
	ch.checkPresent("Region", string(se.Region), "the VM's region")
	for key, value := range map[string]string{
		"CallersAddr": se.CallersAddr, "ReadyAddr": se.ReadyAddr, "AdminAddr": se.AdminAddr,
		"PeersAddr": se.PeersAddr, "KVAddr": se.KVAddr,
	} {
		ch.checkAddr(key, value)
	}
	if se.MetricsAddr != "" {
		ch.checkAddr("MetricsAddr", se.MetricsAddr)
	}
	for key, value := range map[string]float64{
		"CapFactor": se.CapFactor, "ColdOverrun": se.ColdOverrun, "ColdSlack": se.ColdSlack, "EvacuateMs": float64(se.EvacuateMs),
		"RetryRatio": se.RetryRatio, "RetrySlack": se.RetrySlack,
		"RetrySpan": float64(se.RetrySpan), "DrainDelay": float64(se.DrainDelay),
		"DrainTimeout": float64(se.DrainTimeout), "ReturnDelay": float64(se.ReturnDelay), "EngineDrainTime": float64(se.EngineDrainTime), "MemoryMB": float64(se.MemoryMB),
		"MaxDescriptors": float64(se.MaxDescriptors), "FileDescriptors": float64(se.FileDescriptors), "MaxPeers": float64(se.MaxPeers),
	} {
		if value < 0 {
			ch.addProblem(ch.keyLines[key], "%s must not be negative", key)
		}
	}
	ch.checkLevel(se.LogLevel)
	if len(ch.problems) > 0 {
		return nil, ch.problems
	}
	se.Defaults()
	return &se, nil
}
