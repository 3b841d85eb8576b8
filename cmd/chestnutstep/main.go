// Command chestnutstep is the router fleet's one program: an entry, an agent,
// and the operators' tools.
package main

func main() {}
