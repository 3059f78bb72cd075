// Almondrill routes the requests of many long-running chats to the model engines and services of a
// cooperative. Run "almondrill help" for its commands.
package main

import (
	"context"
	"flag"
	"os"

	"github.com/google/subcommands"
)

func main() {
	register(subcommands.DefaultCommander)
	flag.Parse()
	os.Exit(int(subcommands.Execute(context.Background())))
}

// register adds the commands in the groups that the help shows.
func register(cd *subcommands.Commander) {
	cd.Register(cd.HelpCommand(), "")
	cd.Register(cd.FlagsCommand(), "")
	cd.Register(&versionCommand{}, "")
	cd.Register(&processCommand{role: "router"}, "processes")
	cd.Register(&processCommand{role: "agent"}, "processes")
	cd.Register(&relayCommand{}, "processes")
	cd.Register(&demoCommand{}, "trying out")
	cd.Register(&loadCommand{}, "trying out")
	cd.Register(&standinCommand{}, "trying out")
	cd.Register(&checkCommand{}, "operators")
	cd.Register(&explainCommand{}, "operators")
	cd.Register(&quarantineCommand{}, "operators")
	cd.Register(&waitingCommand{}, "operators")
	cd.Register(&planCommand{}, "operators")
	cd.Register(&applyCommand{}, "operators")
	cd.Register(&rollbackCommand{}, "operators")
	cd.Register(&getCommand{}, "operators")
	cd.Register(&historyCommand{}, "operators")
	cd.Register(&statusCommand{}, "operators")
}
