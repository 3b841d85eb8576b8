// Command chestnutstep is the program of the router fleet: it runs an entry or
// an agent, and contains the operators' tools. Its subcommands read settings
// files, publications or the admin addresses of processes, and exit with status
// 1 on an error, or 2 if the arguments are wrong or check --routing can't read a file.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

// command is a subcommand and the function that runs it.
type command struct {
	flags *flaggy.Subcommand
	run   func() error
}

func main() {
	flaggy.SetName("chestnutstep")
	flaggy.SetDescription("a router fleet for chats that return")
	flaggy.SetVersion(version)
	commands := commands()
	for _, c := range commands {
		flaggy.AttachSubcommand(c.flags, 1)
	}
	flaggy.Parse()
	for _, c := range commands {
		if c.flags.Used {
			exit(c.run())
		}
	}
	flaggy.ShowHelpAndExit("name a subcommand")
}

// version is the version shown by --version.
const version = "0.1.0"

func commands() []command {
	var list []command
	add := func(flags *flaggy.Subcommand, run func() error) {
		list = append(list, command{flags, run})
	}
	add(entryCommand())
	add(agentCommand())
	add(checkCommand())
	add(packCommand())
	add(statusCommand())
	return list
}

func exit(err error) {
	if err != nil && !IsErrFindings(err) {
		fmt.Fprintln(os.Stderr, "chestnutstep:", err)
	}
	os.Exit(exitStatus(err))
}
