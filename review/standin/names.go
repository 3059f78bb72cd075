package main

import (
	_ "embed"
	"encoding/json"
)

// names are the platform's names that the stand-ins use. They stand in one file, as the project's own do in
// package platform.
var names = parseNames()

//go:embed names.json
var namesFile []byte

// wireNames holds the headers, paths and keys of the platform.
type wireNames struct {
	RequestID, Deadline, Credential, Model, Tokens, Prefix, Expect, Instance, Stamp, Load string
	ReadyPath, ReportPath, StorePath                                                      string
	ConfigKey, ServersPrefix, SettingsVariable                                            string
}

func parseNames() wireNames {
	var wn wireNames
	if err := json.Unmarshal(namesFile, &wn); err != nil {
		panic(err) // the file is part of the program
	}
	return wn
}
