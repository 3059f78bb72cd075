package main

import (
	_ "embed"
	"encoding/json"
)

// names are the platform's names that the stand-ins use. They are kept in one file, as the project's own are in package
// platform.
var names = parseNames()

//go:embed names.json
var namesFile []byte

// wireNames holds headers, paths, keys and a variable of the platform.
type wireNames struct {
	RequestID, Deadline, Credential, Expect, Instance, Stamp, NotRun string
	ReadyPath, StorePath                                             string
	ConfigKey, ServersPrefix, SettingsVariable                       string
}

func parseNames() wireNames {
	var wn wireNames
	if err := json.Unmarshal(namesFile, &wn); err != nil {
		panic(err) // the file is part of the program
	}
	return wn
}
